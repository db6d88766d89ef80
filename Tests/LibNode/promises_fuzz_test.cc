// Stateful fuzzing of whole tiers against the oracle. Seeds are fixed through
// RC_PARAMS, which Tests/CMakeLists.txt sets.

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <iostream>
#include <string>

#include "LibNode/oracle.h"

namespace {

// What the generator needs to know to keep sequences sensible.
struct Model {
  int faults = 0;
};

enum class Kind {
  kQuery,
  kBook,
  kPublish,
  kRun,
  kKill,
  kRestart,
  kFreeze,
  kResume,
  kDrain,
  kCut,
  kCutStore,
  kCutServer,
  kHeal,
  kOutage,
  kOutageEnd,
  kLoseWriteAnswer,
  kKillZone,
  kChangeIndex,
  kServerDies,
  kServerReturns,
  kServerLeaves,
  kServerStraggles,
  kServerStalls,
  kForeignAnswer,
  kShortAnswer,
  kOtherVersion,
  kStoreSlow,
  kBookingReset,
  kSilence,
  kLast = kSilence,
};

constexpr std::array kNames = {"query",        "book",
                               "publish",      "run",
                               "kill",         "restart",
                               "freeze",       "resume",
                               "drain",        "cut",
                               "cutStore",     "cutServer",
                               "heal",         "outage",
                               "outageEnd",    "loseWriteAnswer",
                               "killZone",     "changeIndex",
                               "serverDies",   "serverReturns",
                               "serverLeaves", "serverStraggles",
                               "serverStalls", "foreignAnswer",
                               "shortAnswer",  "otherVersion",
                               "storeSlow",    "bookingReset",
                               "silence"};

// NOTE: A plain inRange shrinks its range with the size of the test, so that
// small sequences would hold only the first kinds.
int Uniform(int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

struct Step : rc::state::Command<Model, oracle::Oracle> {
  Kind kind;
  int a;
  int b;

  explicit Step()
      : kind(static_cast<Kind>(Uniform(static_cast<int>(Kind::kLast) + 1))),
        a(Uniform(1000)),
        b(Uniform(1000)) {
    // Half of all steps are work, so that faults meet something.
    if (Uniform(2) == 0)
      kind = std::array{Kind::kBook, Kind::kRun, Kind::kRun,
                        Kind::kPublish}[static_cast<size_t>(a) % 4];
  }

  void apply(Model& model) const override {
    model.faults += kind > Kind::kRun ? 1 : 0;
  }

  void run(const Model&, oracle::Oracle& sut) const override {
    const int nodes = sut.tier().node_count();
    const int node = a % nodes;
    const int other = b % nodes;
    fakes::FakeServer& server = sut.server(a);
    switch (kind) {
      case Kind::kQuery:
        sut.Query(node, b % 3);
        break;
      case Kind::kBook:
        sut.Book(node, other);
        break;
      case Kind::kPublish:
        sut.Publish();
        break;
      case Kind::kRun:
        sut.Run(std::chrono::milliseconds(b % 4 == 0 ? b * 4 : b));
        break;
      case Kind::kKill:
        sut.Kill(node);
        break;
      case Kind::kRestart:
        sut.Restart(node);
        break;
      case Kind::kFreeze:
        sut.Freeze(node);
        break;
      case Kind::kResume:
        sut.Resume(node);
        break;
      case Kind::kDrain:
        sut.Drain(node);
        break;
      case Kind::kCut:
        sut.Cut(node, other);
        break;
      case Kind::kCutStore:
        sut.CutStore(node, b % 2 == 0);
        break;
      case Kind::kCutServer:
        sut.CutServer(node, b);
        break;
      case Kind::kHeal:
        sut.Heal();
        break;
      case Kind::kOutage:
        sut.SetOutage(true);
        break;
      case Kind::kOutageEnd:
        sut.SetOutage(false);
        break;
      case Kind::kLoseWriteAnswer:
        sut.LoseWriteAnswer();
        break;
      case Kind::kKillZone:
        sut.KillZone(a);
        break;
      case Kind::kChangeIndex:
        sut.ChangeIndex(a % 2 == 0, b % 2 == 0);
        break;
      case Kind::kServerDies:
        server.faults.dead = true;
        break;
      case Kind::kServerReturns:
        server.StartNewProcess();
        break;
      case Kind::kServerLeaves:
        server.faults.denies_leaving = b % 2 == 0;
        server.SetLeaving(true);
        break;
      case Kind::kServerStraggles:
        server.faults.service_time_factor = 20;
        break;
      case Kind::kServerStalls:
        server.faults.stalled = !server.faults.stalled;
        server.StartQueuedWork();
        break;
      case Kind::kForeignAnswer:
        server.faults.mismatched_answers += 5;
        break;
      case Kind::kShortAnswer:
        server.faults.incomplete_answers += 5;
        break;
      case Kind::kOtherVersion:
        server.faults.answers_newest_version = true;
        break;
      case Kind::kBookingReset:
        server.faults.resets_after_booking = true;
        break;
      case Kind::kStoreSlow:
        sut.SetStoreJitter(std::chrono::milliseconds(a));
        break;
      case Kind::kSilence:
        sut.SilenceConnections();
        break;
    }
  }

  void show(std::ostream& os) const override {
    os << kNames[static_cast<size_t>(kind)] << "(" << a << ", " << b << ")";
  }
};

struct Totals {
  int sequences = 0;
  int asked = 0;
  int answered = 0;
  int bookings = 0;
  int unknown_not_run = 0;
};

TEST_CASE("no sequence of work and faults breaks a promise") {
  Totals totals;
  const bool passed =
      rc::check("the oracle finds no violation", [&totals](uint64_t seed) {
        const Model model;
        const auto commands = *rc::state::gen::commands(
            model, rc::state::gen::execOneOfWithArgs<Step>());
        oracle::Oracle sut(seed);
        rc::state::runAll(commands, model, sut);
        sut.Settle();
        ++totals.sequences;
        totals.asked += sut.asked();
        totals.answered += sut.answered();
        totals.bookings += sut.bookings();
        totals.unknown_not_run += sut.unknown_not_run();
        for (const oracle::Violation& violation : sut.violations())
          RC_FAIL("promise " +
                  std::to_string(static_cast<int>(violation.promise)) + ": " +
                  violation.what);
      });
  std::cout << totals.sequences << " sequences, " << totals.asked
            << " queries, " << totals.answered << " answered whole, "
            << totals.bookings << " bookings, " << totals.unknown_not_run
            << " of unknown outcome that no server ran\n";
  CHECK(passed);
}

}  // namespace

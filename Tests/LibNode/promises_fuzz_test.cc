// Stateful fuzzing of whole tiers, checked by the oracle. RC_PARAMS, which
// Tests/CMakeLists.txt sets, fixes the seeds.

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <iostream>
#include <string>

#include "LibNode/oracle.h"

namespace {

// The state of the model that RapidCheck's generator requires.
struct Model {
  int faults = 0;
};

enum class StepKind {
  kQuery,
  kBook,
  kPublish,
  kRun,
  kKill,
  kRestart,
  kFreeze,
  kResume,
  kDrain,
  kCutNodes,
  kCutStore,
  kCutServer,
  kHeal,
  kStoreOutage,
  kStoreOutageEnd,
  kLoseWriteAnswer,
  kKillZone,
  kChangeIndex,
  kServerDies,
  kServerReturns,
  kServerLeaves,
  kServerStraggles,
  kServerStalls,
  kMismatchedAnswers,
  kIncompleteAnswers,
  kNewestVersion,
  kStoreJitter,
  kBookingReset,
  kSilenceConnections,
  kLast = kSilenceConnections,
};

constexpr std::array kStepNames = {"query",
                                   "book",
                                   "publish",
                                   "run",
                                   "kill",
                                   "restart",
                                   "freeze",
                                   "resume",
                                   "drain",
                                   "cutNodes",
                                   "cutStore",
                                   "cutServer",
                                   "heal",
                                   "outage",
                                   "outageEnd",
                                   "loseWriteAnswer",
                                   "killZone",
                                   "changeIndex",
                                   "serverDies",
                                   "serverReturns",
                                   "serverLeaves",
                                   "serverStraggles",
                                   "serverStalls",
                                   "mismatchedAnswers",
                                   "incompleteAnswers",
                                   "newestVersion",
                                   "storeJitter",
                                   "bookingReset",
                                   "silenceConnections"};

// Returns a uniformly distributed number from 0 to `end` - 1.
// NOTE: A plain inRange shrinks its range with the size of the test, so that
// small sequences would contain only the first kinds of steps.
int UniformBelow(int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

// One action on the tier: work, the passing of time, or a fault.
struct Step : rc::state::Command<Model, oracle::Oracle> {
  StepKind kind;
  // Random numbers from 0 to 999 that select nodes, servers, durations and
  // variants.
  int a;
  int b;

  explicit Step()
      : kind(static_cast<StepKind>(
            UniformBelow(static_cast<int>(StepKind::kLast) + 1))),
        a(UniformBelow(1000)),
        b(UniformBelow(1000)) {
    // Half of all steps are work or the passing of time, so that there is work
    // for faults to hit.
    if (UniformBelow(2) == 0)
      kind = std::array{StepKind::kBook, StepKind::kRun, StepKind::kRun,
                        StepKind::kPublish}[static_cast<size_t>(a) % 4];
  }

  void apply(Model& model) const override {
    model.faults += kind > StepKind::kRun ? 1 : 0;
  }

  void run(const Model&, oracle::Oracle& sut) const override {
    const int nodes = sut.tier().node_count();
    const int node = a % nodes;
    const int other = b % nodes;
    fakes::FakeServer& server = sut.server(a);
    switch (kind) {
      case StepKind::kQuery:
        sut.Query(node, b % 3);
        break;
      case StepKind::kBook:
        sut.Book(node, other);
        break;
      case StepKind::kPublish:
        sut.Publish();
        break;
      case StepKind::kRun:
        sut.RunUnderLoad(std::chrono::milliseconds(b % 4 == 0 ? b * 4 : b));
        break;
      case StepKind::kKill:
        sut.Kill(node);
        break;
      case StepKind::kRestart:
        sut.Restart(node);
        break;
      case StepKind::kFreeze:
        sut.Freeze(node);
        break;
      case StepKind::kResume:
        sut.Resume(node);
        break;
      case StepKind::kDrain:
        sut.Drain(node);
        break;
      case StepKind::kCutNodes:
        sut.CutNodes(node, other);
        break;
      case StepKind::kCutStore:
        sut.CutStore(node, b % 2 == 0);
        break;
      case StepKind::kCutServer:
        sut.CutServer(node, b);
        break;
      case StepKind::kHeal:
        sut.Heal();
        break;
      case StepKind::kStoreOutage:
        sut.SetStoreOutage(true);
        break;
      case StepKind::kStoreOutageEnd:
        sut.SetStoreOutage(false);
        break;
      case StepKind::kLoseWriteAnswer:
        sut.LoseNextWriteAnswer();
        break;
      case StepKind::kKillZone:
        sut.KillZone(a);
        break;
      case StepKind::kChangeIndex:
        sut.ChangeIndex(a % 2 == 0, b % 2 == 0);
        break;
      case StepKind::kServerDies:
        server.faults.dead = true;
        break;
      case StepKind::kServerReturns:
        server.StartNewProcess();
        break;
      case StepKind::kServerLeaves:
        server.faults.denies_leaving = b % 2 == 0;
        server.SetLeaving(true);
        break;
      case StepKind::kServerStraggles:
        server.faults.service_time_factor = 20;
        break;
      case StepKind::kServerStalls:
        server.faults.stalled = !server.faults.stalled;
        server.StartQueuedWork();
        break;
      case StepKind::kMismatchedAnswers:
        server.faults.mismatched_answers += 5;
        break;
      case StepKind::kIncompleteAnswers:
        server.faults.incomplete_answers += 5;
        break;
      case StepKind::kNewestVersion:
        server.faults.answers_newest_version = true;
        break;
      case StepKind::kBookingReset:
        server.faults.resets_after_booking = true;
        break;
      case StepKind::kStoreJitter:
        sut.SetStoreJitter(std::chrono::milliseconds(a));
        break;
      case StepKind::kSilenceConnections:
        sut.SilenceConnections();
        break;
    }
  }

  void show(std::ostream& os) const override {
    os << kStepNames[static_cast<size_t>(kind)] << "(" << a << ", " << b << ")";
  }
};

// Sums over all sequences.
struct Totals {
  int sequence_count = 0;
  int accepted_query_count = 0;
  int fully_answered_query_count = 0;
  int booking_count = 0;
  int unknown_but_not_run_booking_count = 0;
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
        sut.FinishAndCheck();
        ++totals.sequence_count;
        totals.accepted_query_count += sut.accepted_query_count();
        totals.fully_answered_query_count += sut.fully_answered_query_count();
        totals.booking_count += sut.booking_count();
        totals.unknown_but_not_run_booking_count +=
            sut.unknown_but_not_run_booking_count();
        for (const oracle::Violation& violation : sut.violations())
          RC_FAIL("promise " +
                  std::to_string(static_cast<int>(violation.promise)) + ": " +
                  violation.description);
      });
  std::cout << totals.sequence_count << " sequences, "
            << totals.accepted_query_count << " queries, "
            << totals.fully_answered_query_count << " answered whole, "
            << totals.booking_count << " bookings, "
            << totals.unknown_but_not_run_booking_count
            << " of unknown outcome that no server ran\n";
  CHECK(passed);
}

}  // namespace

// One read of each held server per round.

#include "LibUpstream/report_poller.h"

#include <utility>

namespace upstream {

namespace {

constexpr base::Duration kRound = std::chrono::milliseconds(500);
constexpr base::Duration kTimeout = std::chrono::milliseconds(400);

}  // namespace

std::shared_ptr<ReportPoller> ReportPoller::Create(base::Scheduler& scheduler,
                                                   ReportSource& source,
                                                   ServerTable& servers,
                                                   TargetsOf targets_of,
                                                   Listener listener) {
  return std::shared_ptr<ReportPoller>(new ReportPoller(
      scheduler, source, servers, std::move(targets_of), std::move(listener)));
}

ReportPoller::ReportPoller(base::Scheduler& scheduler,
                           ReportSource& source,
                           ServerTable& servers,
                           TargetsOf targets_of,
                           Listener listener)
    : scheduler_(scheduler),
      source_(source),
      servers_(servers),
      targets_of_(std::move(targets_of)),
      listener_(std::move(listener)) {}

void ReportPoller::PollAll() {
  for (const ServerTarget& target : targets_of_())
    Poll(target);
}

void ReportPoller::RunRound() {
  PollAll();
  scheduler_.After(kRound, [weak = weak_from_this()] {
    if (const auto poller = weak.lock())
      poller->RunRound();
  });
}

void ReportPoller::Poll(const ServerTarget& target) {
  source_.FetchReport(
      target, kTimeout,
      [self = shared_from_this(), address = target.address](auto report) {
        // NOTE: A report under another address would mislead others.
        if (report && report->address == address)
          self->listener_(*report);
        else if (!report &&
                 report.error().kind() == base::ErrorKind::kUnavailable)
          self->servers_.OnUnreachable(address, self->scheduler_.Now());
      });
}

}  // namespace upstream

// Fetches one report from each target in each poll period.

#include "LibUpstream/report_poller.h"

#include <utility>

namespace upstream {

namespace {

constexpr base::Duration kPollPeriod = std::chrono::milliseconds(500);
constexpr base::Duration kReportTimeout = std::chrono::milliseconds(400);

}  // namespace

std::shared_ptr<ReportPoller> ReportPoller::Create(base::Scheduler& scheduler,
                                                   ReportSource& source,
                                                   ServerTable& servers,
                                                   ListTargets list_targets,
                                                   ReportListener listener) {
  return std::shared_ptr<ReportPoller>(
      new ReportPoller(scheduler, source, servers, std::move(list_targets),
                       std::move(listener)));
}

ReportPoller::ReportPoller(base::Scheduler& scheduler,
                           ReportSource& source,
                           ServerTable& servers,
                           ListTargets list_targets,
                           ReportListener listener)
    : scheduler_(scheduler),
      source_(source),
      servers_(servers),
      list_targets_(std::move(list_targets)),
      listener_(std::move(listener)) {}

void ReportPoller::PollAll() {
  for (const ServerTarget& target : list_targets_())
    Poll(target);
}

void ReportPoller::PollPeriodically() {
  PollAll();
  scheduler_.After(kPollPeriod, [weak = weak_from_this()] {
    if (const auto poller = weak.lock())
      poller->PollPeriodically();
  });
}

void ReportPoller::Poll(const ServerTarget& target) {
  source_.FetchReport(
      target, kReportTimeout,
      [self = shared_from_this(), address = target.address](auto report) {
        // NOTE: A report that names another address is dropped: it would be
        // taken for the report of that server.
        if (report && report->address == address)
          self->listener_(*report);
        else if (!report &&
                 report.error().kind() == base::ErrorKind::kUnavailable)
          self->servers_.OnUnreachable(address, self->scheduler_.Now());
      });
}

}  // namespace upstream

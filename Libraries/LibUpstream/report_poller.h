// Reads the reports of the servers whose connections this node holds.

#ifndef LIBUPSTREAM_REPORT_POLLER_H_
#define LIBUPSTREAM_REPORT_POLLER_H_

#include <functional>
#include <memory>
#include <vector>

#include "LibBase/scheduler.h"
#include "LibUpstream/server_table.h"
#include "LibUpstream/transport.h"

namespace upstream {

class ReportPoller : public std::enable_shared_from_this<ReportPoller> {
 public:
  using TargetsOf = std::function<std::vector<ServerTarget>()>;
  using Listener = std::function<void(const ServerReport&)>;

  static std::shared_ptr<ReportPoller> Create(base::Scheduler& scheduler,
                                              ReportSource& source,
                                              ServerTable& servers,
                                              TargetsOf targets_of,
                                              Listener listener);

  void Start() { RunRound(); }

  // Reads all targets now, besides the rounds; for new targets.
  void PollAll();

 private:
  ReportPoller(base::Scheduler& scheduler,
               ReportSource& source,
               ServerTable& servers,
               TargetsOf targets_of,
               Listener listener);
  void RunRound();
  void Poll(const ServerTarget& target);

  base::Scheduler& scheduler_;
  ReportSource& source_;
  ServerTable& servers_;
  const TargetsOf targets_of_;
  const Listener listener_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_REPORT_POLLER_H_

// Fetches the reports of the servers that this node holds connections to.

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
  // Returns the servers to poll.
  using ListTargets = std::function<std::vector<ServerTarget>()>;
  using ReportListener = std::function<void(const ServerReport&)>;

  static std::shared_ptr<ReportPoller> Create(base::Scheduler& scheduler,
                                              ReportSource& source,
                                              ServerTable& servers,
                                              ListTargets list_targets,
                                              ReportListener listener);

  void Start() { PollPeriodically(); }

  // Fetches all reports now, in addition to the periodic polls. Call it when
  // there are new targets.
  void PollAll();

 private:
  ReportPoller(base::Scheduler& scheduler,
               ReportSource& source,
               ServerTable& servers,
               ListTargets list_targets,
               ReportListener listener);
  void PollPeriodically();
  void Poll(const ServerTarget& target);

  base::Scheduler& scheduler_;
  ReportSource& source_;
  ServerTable& servers_;
  const ListTargets list_targets_;
  const ReportListener listener_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_REPORT_POLLER_H_

// Keeps the servers that left until the next line.

#include "LibNode/leaving_server_log.h"

#include <algorithm>

namespace node {

void LeavingServerLog::Add(const std::string& instance,
                           const base::StoreRevision& revision) {
  const std::lock_guard lock(mutex_);
  pending_.push_back(instance + "@" + base::ToString(revision));
}

void LeavingServerLog::AddAnnounced(const std::string& instance) {
  const std::lock_guard lock(mutex_);
  pending_.push_back(instance + "@answer");
}

void LeavingServerLog::Flush() {
  std::string servers;
  {
    const std::lock_guard lock(mutex_);
    const auto end =
        pending_.begin() +
        static_cast<ptrdiff_t>(std::min(kMaxServersPerLine, pending_.size()));
    std::for_each(pending_.begin(), end, [&](const std::string& server) {
      servers += (servers.empty() ? "" : " ") + server;
    });
    pending_.erase(pending_.begin(), end);
  }
  if (!servers.empty())
    write_(std::move(servers));
}

}  // namespace node

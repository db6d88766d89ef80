// Logs the servers that leave.

#ifndef LIBNODE_LEAVING_SERVER_LOG_H_
#define LIBNODE_LEAVING_SERVER_LOG_H_

#include <deque>
#include <functional>
#include <mutex>
#include <string>

#include "LibBase/store_revision.h"

namespace node {

// Names several servers in one line, so that the volume stays bounded when an
// index change removes hundreds of them at once, and none is left out.
class LeavingServerLog {
 public:
  static constexpr size_t kMaxServersPerLine = 50;

  // Writes the field `servers` of a line.
  using Writer = std::function<void(std::string servers)>;
  explicit LeavingServerLog(Writer write) : write_(std::move(write)) {}

  // Notes that the server left with this revision of its registry entry.
  void Add(const std::string& instance, const base::StoreRevision& revision);
  // Notes that the server left because its answers say so.
  void AddAnnounced(const std::string& instance);
  // Writes at most one line. Call it at short intervals.
  void Flush();

 private:
  const Writer write_;
  std::mutex mutex_;
  // Servers that no line names yet, oldest first. Guarded by `mutex_`.
  std::deque<std::string> pending_;
};

}  // namespace node

#endif  // LIBNODE_LEAVING_SERVER_LOG_H_

// Logs the invalid statements of servers.

#ifndef LIBNODE_STATEMENT_REJECTION_LOG_H_
#define LIBNODE_STATEMENT_REJECTION_LOG_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "LibBase/error.h"
#include "LibBase/lock_striped.h"
#include "LibBase/time.h"

namespace node {

// Writes at most one line a minute for each server. Safe from any thread.
class StatementRejectionLog {
 public:
  using Writer =
      std::function<void(const std::string& instance, const base::Error&)>;
  explicit StatementRejectionLog(Writer write) : write_(std::move(write)) {}

  void Add(const std::string& instance,
           const base::Error& error,
           base::Instant now);

 private:
  const Writer write_;
  // When the last line for a server was written, by instance.
  base::LockStriped<std::unordered_map<std::string, base::Instant>> written_at_;
};

}  // namespace node

#endif  // LIBNODE_STATEMENT_REJECTION_LOG_H_

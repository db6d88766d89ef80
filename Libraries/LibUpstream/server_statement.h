// What servers say of themselves in their answers.

#ifndef LIBUPSTREAM_SERVER_STATEMENT_H_
#define LIBUPSTREAM_SERVER_STATEMENT_H_

#include <optional>
#include <string>

#include "LibBase/error.h"
#include "LibBase/time.h"

namespace upstream {

struct ServerStatement {
  // How many requests a second the server takes from all nodes together; unset
  // if it names no limit. Finite and not negative.
  std::optional<double> max_request_rate;

  bool operator==(const ServerStatement&) const = default;
};

class StatementListener {
 public:
  virtual ~StatementListener() = default;

  // Called for each answer of the server, refusals included, before the call
  // that it answers ends. `asked` is when that call began. The statement is an
  // error if it can't be used.
  virtual void OnStatement(const std::string& instance,
                           base::Instant asked,
                           const base::Result<ServerStatement>& statement) = 0;
};

// Passes on what servers say.
class StatementSource {
 public:
  virtual ~StatementSource() = default;

  // Must be called before the first call to a server. `listener` outlives the
  // calls.
  virtual void SetStatementListener(StatementListener& listener) = 0;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_SERVER_STATEMENT_H_

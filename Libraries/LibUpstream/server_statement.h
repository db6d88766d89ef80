// What servers say of themselves in their answers.

#ifndef LIBUPSTREAM_SERVER_STATEMENT_H_
#define LIBUPSTREAM_SERVER_STATEMENT_H_

#include <optional>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibUpstream/transport.h"

namespace upstream {

// Each part is an error if the server made an invalid statement on it.
struct ServerStatement {
  // How many requests a second the server takes from all nodes together; unset
  // if it names no limit. Finite and not negative.
  base::Result<std::optional<double>> max_request_rate =
      std::optional<double>();
  // Whether the server will end soon and wants no more requests.
  base::Result<bool> is_leaving = false;

  bool operator==(const ServerStatement&) const = default;
};

class StatementListener {
 public:
  virtual ~StatementListener() = default;

  // Called for each answer of the server, refusals included, before the call
  // that it answers ends. `asked` is when that call began.
  virtual void OnStatement(const ServerTarget& server,
                           base::Instant asked,
                           const ServerStatement& statement) = 0;
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

// Guards against a line for each answer of a server that makes invalid
// statements.

#include "LibNode/statement_rejection_log.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a server's invalid statements take one line a minute") {
  std::vector<std::string> servers;
  StatementRejectionLog log(
      [&](const std::string& instance, const base::Error&) {
        servers.push_back(instance);
      });
  const base::Error error(base::ErrorKind::kProtocol, "invalid", "mend it");
  for (base::Instant now{seconds(100)}; now < base::Instant(seconds(220));
       now += milliseconds(10))
    log.Add("i-1", error, now);
  CHECK(servers == std::vector<std::string>{"i-1", "i-1"});
  log.Add("i-2", error, base::Instant(seconds(220)));
  CHECK(servers.back() == "i-2");
}

}  // namespace
}  // namespace node

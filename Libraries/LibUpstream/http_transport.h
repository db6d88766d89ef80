// Sends shard calls and fetches server reports over pooled HTTP connections.

#ifndef LIBUPSTREAM_HTTP_TRANSPORT_H_
#define LIBUPSTREAM_HTTP_TRANSPORT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "LibBase/lock_striped.h"
#include "LibUpstream/connection_pool.h"
#include "LibUpstream/server_report.h"
#include "LibUpstream/shard_codec.h"
#include "LibUpstream/transport.h"

namespace upstream {

class HttpTransport final : public Transport,
                            public ReportSource,
                            public StatementSource {
 public:
  HttpTransport(std::shared_ptr<ConnectionPool> pool,
                std::shared_ptr<const ShardCodec> codec);
  ~HttpTransport() override;

  void Prepare(const ServerTarget& target) override;
  CallId Start(const ServerTarget& target,
               const ShardCall& call,
               base::Duration timeout,
               ShardCallback callback) override;
  void Cancel(CallId call) override;
  void DropWaitingCalls(const std::string& address) override;

  void FetchReport(const ServerTarget& target,
                   base::Duration timeout,
                   ReportCallback callback) override;

  void SetStatementListener(StatementListener& listener) override;

 private:
  struct Call;
  struct State;
  // Sends the call on `connection`. Ends the call without sending if there is
  // no connection, if it was cancelled, or if its deadline has passed.
  static void Send(const std::shared_ptr<State>& state,
                   const std::shared_ptr<Call>& call,
                   ConnectionPool::ConnectionPtr connection);
  // Ends the call, or sends it once more on a new connection if the server had
  // closed the reused one. `was_connected` tells whether `connection` was open
  // before this exchange.
  static void OnResult(const std::shared_ptr<State>& state,
                       const std::shared_ptr<Call>& call,
                       ConnectionPool::ConnectionPtr connection,
                       bool was_connected,
                       http::ExchangeResult result);
  // Registers the call, and sends it as soon as a connection is available.
  CallId StartCall(std::shared_ptr<Call> call);

  const std::shared_ptr<State> state_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_HTTP_TRANSPORT_H_

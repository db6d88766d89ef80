// Shard calls and status reads over pooled HTTP connections.

#ifndef LIBUPSTREAM_HTTP_TRANSPORT_H_
#define LIBUPSTREAM_HTTP_TRANSPORT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "LibBase/sharded.h"
#include "LibUpstream/connection_pool.h"
#include "LibUpstream/server_report.h"
#include "LibUpstream/shard_codec.h"
#include "LibUpstream/transport.h"

namespace upstream {

class HttpTransport final : public Transport, public ReportSource {
 public:
  HttpTransport(std::shared_ptr<ConnectionPool> pool,
                std::shared_ptr<const ShardCodec> codec);
  ~HttpTransport() override;

  CallId Start(const ServerTarget& target,
               const ShardCall& call,
               base::Duration timeout,
               ShardCallback callback) override;
  void Cancel(CallId call) override;
  void DropWaitingCalls(const std::string& address) override;

  void FetchReport(const ServerTarget& target,
                   base::Duration timeout,
                   ReportCallback callback) override;

 private:
  struct Call;
  struct State;
  static void Run(const std::shared_ptr<State>& state,
                  const std::shared_ptr<Call>& call,
                  ConnectionPool::ConnectionPtr connection);
  static void OnResult(const std::shared_ptr<State>& state,
                       const std::shared_ptr<Call>& call,
                       ConnectionPool::ConnectionPtr connection,
                       bool was_used,
                       http::ExchangeResult result);
  CallId StartCall(std::shared_ptr<Call> call);

  const std::shared_ptr<State> state_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_HTTP_TRANSPORT_H_

// A stand-in for one server of an upstream. It has slots, a queue, index
// versions and faults that a test turns on, runs bookings, and records what it
// runs.

#ifndef STANDINS_UPSTREAM_SERVER_H_
#define STANDINS_UPSTREAM_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "LibBase/asio_scheduler.h"
#include "LibConfig/upstream.h"
#include "LibHttp/server.h"
#include "LibUpstream/server_report.h"

namespace standins {

struct ServerFaults {
  bool leaving = false;
  bool denies_leaving = false;  // The report says that it is serving.
  double service_time_factor = 1;
  int silent_requests = 0;  // How many of the next requests get no answer.
  // How many of the next shard answers carry the id of another request.
  int mismatched_answers = 0;
  // Delays the answer to a booking after it has been recorded.
  base::Duration booking_delay{};
};

// Counts what a server has run and refused.
struct ServerRecords {
  uint64_t shard_calls = 0;
  // Shard calls that ended while the server was leaving. It is a defect if the
  // server accepts one while it is leaving.
  uint64_t calls_after_leaving = 0;
  uint64_t refused_while_leaving = 0;
  // Requests refused because the queue was full or their deadline had passed.
  uint64_t shed = 0;
  uint64_t most_connections = 0;
  std::map<std::string, int> booking_runs;  // Number of runs by run id.
};

class UpstreamServer {
 public:
  static base::Result<std::unique_ptr<UpstreamServer>> Create(
      boost::asio::io_context& io,
      const config::Upstream& upstream,
      const config::Server& server,
      std::vector<upstream::HeldIndex> held);

  const std::string& address() const { return address_; }
  const std::string& upstream() const { return upstream_; }
  const std::string& availability_zone() const { return availability_zone_; }

  void SetFaults(const ServerFaults& faults);
  ServerFaults faults();
  void SetServiceTime(base::Duration time);
  void SetHeld(std::vector<upstream::HeldIndex> held);
  ServerRecords records();

 private:
  struct QueuedRequest {
    http::Request request;
    http::Responder respond;
    base::Instant deadline;
  };

  UpstreamServer(boost::asio::io_context& io,
                 const config::Upstream& upstream,
                 const config::Server& server,
                 std::vector<upstream::HeldIndex> held);
  void Handle(http::Request request, const http::Responder& respond);
  http::Response ReportAnswer();
  // Starts queued requests as far as slots are free.
  void StartQueuedWork();
  void Finish(const QueuedRequest& work);
  http::Response ShardAnswer(const http::Request& request);
  http::Response BookingAnswer(const http::Request& request);

  const std::string address_;
  const std::string upstream_;
  const std::string availability_zone_;
  const int slots_;
  base::AsioScheduler scheduler_;
  const uint64_t incarnation_;

  std::mutex mutex_;
  // All guarded by `mutex_`.
  uint64_t sequence_ = 1;
  base::Duration service_time_;
  std::vector<upstream::HeldIndex> held_;
  ServerFaults faults_;
  ServerRecords records_;
  std::deque<QueuedRequest> queue_;
  int running_ = 0;  // At most `slots_`.

  std::unique_ptr<http::Server> server_;
};

// Returns what a server holds for a shard of an index version, as JSON text.
std::string ItemsOf(const std::string& upstream,
                    uint64_t version,
                    uint32_t shard,
                    const std::string& query);

}  // namespace standins

#endif  // STANDINS_UPSTREAM_SERVER_H_

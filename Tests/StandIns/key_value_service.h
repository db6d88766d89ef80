// A stand-in for the platform's key-value service: compare-and-swap, leases,
// watches, a count of calls, and faults that a test turns on.

#ifndef STANDINS_KEY_VALUE_SERVICE_H_
#define STANDINS_KEY_VALUE_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "LibBase/asio_scheduler.h"
#include "LibHttp/server.h"

namespace standins {

struct StoreFaults {
  bool outage = false;         // No call is answered.
  base::Duration slowness{};   // Before each answer.
  int lost_write_answers = 0;  // The next writes take effect unanswered.
};

struct StoreCounts {
  uint64_t reads = 0;  // Watches included.
  uint64_t writes = 0;
};

class KeyValueService {
 public:
  static base::Result<std::unique_ptr<KeyValueService>> Create(
      boost::asio::io_context& io,
      const std::string& address);

  void SetFaults(const StoreFaults& faults);
  StoreCounts counts();

 private:
  struct Entry {
    std::string value;
    uint64_t version = 0;
    std::string lease;  // Empty for none.
  };
  struct Watcher {
    std::string key;
    uint64_t above = 0;
    base::Instant deadline;
    http::Responder respond;
  };

  explicit KeyValueService(boost::asio::io_context& io) : scheduler_(io) {}
  void Handle(const http::Request& request, const http::Responder& respond);
  void Read(const http::Request& request, const http::Responder& respond);
  void Write(const http::Request& request, const http::Responder& respond);
  void Lease(const http::Request& request, const http::Responder& respond);
  void ExpireLeases();
  void EndWatches(bool all_expired);
  void Answer(const http::Responder& respond, http::Response response);
  http::Response ValueAnswer(const std::string& key);

  base::AsioScheduler scheduler_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  StoreFaults faults_;
  StoreCounts counts_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, base::Instant> leases_;  // Expiry by lease.
  std::vector<Watcher> watchers_;
  uint64_t next_version_ = 1;

  std::unique_ptr<http::Server> server_;
};

}  // namespace standins

#endif  // STANDINS_KEY_VALUE_SERVICE_H_

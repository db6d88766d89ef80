// A stand-in for the platform's key-value service. It offers compare-and-swap,
// leases and watches, counts its calls, and has faults that a test turns on.

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
  bool outage = false;  // No call is answered.
  base::Duration answer_delay{};
  // How many of the next writes take effect but are not answered.
  int lost_write_answers = 0;
};

struct StoreCounts {
  uint64_t reads = 0;   // Includes watches.
  uint64_t writes = 0;  // Includes lease renewals.
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
    std::string lease;  // The name of the lease; empty if there is none.
  };
  struct Watcher {
    std::string key;
    uint64_t above = 0;  // Answers once the key's version exceeds this.
    base::Instant deadline;
    http::Responder respond;
  };

  explicit KeyValueService(boost::asio::io_context& io) : scheduler_(io) {}
  void Handle(const http::Request& request, const http::Responder& respond);
  void Read(const http::Request& request, const http::Responder& respond);
  void Write(const http::Request& request, const http::Responder& respond);
  void TakeOrRenewLease(const http::Request& request,
                        const http::Responder& respond);
  void ExpireLeases();
  // Answers the watches whose key has a newer version and, if
  // `include_expired`, those whose deadline has passed.
  void AnswerWatches(bool include_expired);
  void Answer(const http::Responder& respond, http::Response response);
  http::Response ValueAnswer(const std::string& key);

  base::AsioScheduler scheduler_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  StoreFaults faults_;
  StoreCounts counts_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, base::Instant> leases_;  // Expiry time by name.
  std::vector<Watcher> watchers_;
  uint64_t next_version_ = 1;

  std::unique_ptr<http::Server> server_;
};

}  // namespace standins

#endif  // STANDINS_KEY_VALUE_SERVICE_H_

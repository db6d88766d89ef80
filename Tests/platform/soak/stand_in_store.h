// A stand-in for the platform's store: lists and watches keys.

#ifndef SOAK_STAND_IN_STORE_H_
#define SOAK_STAND_IN_STORE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibBase/asio_scheduler.h"
#include "LibHttp/server.h"

namespace soak {

// All functions must be called on the thread of the io_context, or before it
// runs.
class StandInStore {
 public:
  StandInStore(boost::asio::io_context& io, const std::string& address);

  void Put(const std::string& key, const std::string& value);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
  };
  // A watch without news yet.
  struct Watch {
    std::string prefix;
    uint64_t after = 0;
    http::Responder respond;
  };

  void Handle(const http::Request& request, http::Responder respond);
  http::Response List(const std::string& prefix, const std::string& after_key);
  void StartWatch(Watch watch, base::Duration wait);
  // Answers a watch with the changes since its revision.
  void Answer(const Watch& watch);
  bool HasNews(const Watch& watch) const;

  base::AsioScheduler scheduler_;
  std::map<std::string, Item> items_;
  uint64_t revision_ = 100;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace soak

#endif  // SOAK_STAND_IN_STORE_H_

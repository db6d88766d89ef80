// A stand-in for the platform's store: lists and watches keys, and can come
// back from a copy of its contents.

#ifndef SOAK_STAND_IN_STORE_H_
#define SOAK_STAND_IN_STORE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/asio_scheduler.h"
#include "LibHttp/server.h"

namespace soak {

// All functions must be called on the thread of the io_context, or before it
// runs.
class StandInStore {
 public:
  // What the store holds at one moment.
  struct Contents {
    struct Item {
      std::string value;
      uint64_t revision = 0;
    };
    struct Change {
      std::string key;
      std::optional<std::string> value;  // Unset if the key was removed.
      uint64_t revision = 0;
    };
    std::map<std::string, Item> items;
    std::vector<Change> history;
    uint64_t revision = 100;
  };

  StandInStore(boost::asio::io_context& io, const std::string& address);

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  const Contents& contents() const { return contents_; }
  // Answers no more calls, and accepts no connections.
  void GoAway();
  // Answers calls again, with the same contents.
  void Return();
  // Answers calls again, with the contents of a copy and in a new era.
  void ReturnFrom(Contents copy);

 private:
  // A watch without news yet.
  struct Watch {
    std::string prefix;
    uint64_t after = 0;
    http::Responder respond;
  };

  void Listen();
  void Change(const std::string& key, std::optional<std::string> value);
  void Handle(const http::Request& request, const http::Responder& respond);
  http::Response List(const std::string& prefix, const std::string& after_key);
  void StartWatch(Watch watch, base::Duration wait);
  // Answers a watch with the changes since its revision.
  void Answer(const Watch& watch);
  bool HasNews(const Watch& watch) const;
  http::Response MakeResponse(int status, std::string body) const;

  boost::asio::io_context& io_;
  const std::string address_;
  base::AsioScheduler scheduler_;
  Contents contents_;
  uint64_t era_ = 1;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::unique_ptr<http::Server> server_;  // Null while the store is away.
};

}  // namespace soak

#endif  // SOAK_STAND_IN_STORE_H_

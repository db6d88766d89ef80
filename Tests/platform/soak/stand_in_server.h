// A stand-in for a server of a service: works on a few requests at a time,
// queues a few more and refuses the rest.

#ifndef SOAK_STAND_IN_SERVER_H_
#define SOAK_STAND_IN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <string>

#include "LibBase/asio_scheduler.h"
#include "LibBase/random.h"
#include "LibHttp/server.h"
#include "observation.h"

namespace soak {

struct ServerOptions {
  std::string instance;
  std::string service;
  std::string availability_zone;
  std::string address;
  size_t slots = 3;
  size_t queue = 12;
  base::Duration mean_work{};
  size_t body_bytes = 320;

  bool operator==(const ServerOptions&) const = default;
};

class StandInServer {
 public:
  StandInServer(boost::asio::io_context& io,
                ServerOptions options,
                base::Random& random,
                Recorder& recorder);

  // Returns the server's next entry in the store.
  std::string NextEntry(bool is_leaving = false);
  const ServerOptions& options() const { return options_; }

 private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void Handle(const http::Request& request,
              http::Responder respond,
              const http::CancellationPtr& cancellation);
  void Begin(const JobPtr& job);
  void Finish(const JobPtr& job, RunEnd end, int status);
  void StartNext();
  base::Duration WorkTime();
  http::Response MakeResponse(const Job& job, int status) const;

  const ServerOptions options_;
  base::Random& random_;
  Recorder& recorder_;
  base::AsioScheduler scheduler_;
  uint64_t sequence_ = 0;  // Of the last entry.
  size_t running_ = 0;
  std::deque<JobPtr> waiting_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace soak

#endif  // SOAK_STAND_IN_SERVER_H_

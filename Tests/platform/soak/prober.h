// Asks each host, at short intervals, for the routes that only the newest
// version of the configuration and the one before it have.

#ifndef SOAK_PROBER_H_
#define SOAK_PROBER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "LibBase/asio_scheduler.h"
#include "observation.h"

namespace soak {

class Prober {
 public:
  // `version` is the newest version that was published. References must outlive
  // the tasks of the io_context.
  Prober(boost::asio::io_context& io,
         std::vector<std::string> addresses,
         const std::atomic<uint64_t>& version,
         Recorder& recorder);

  // Must be called on the thread of the io_context, like Stop.
  void Start();
  void Stop() { is_stopped_ = true; }

 private:
  void Probe(const std::string& address, uint64_t version);

  boost::asio::io_context& io_;
  base::AsioScheduler scheduler_;
  const std::vector<std::string> addresses_;
  const std::atomic<uint64_t>& version_;
  Recorder& recorder_;
  uint64_t next_probe_ = 1;
  bool is_stopped_ = false;
};

}  // namespace soak

#endif  // SOAK_PROBER_H_

// The HTTP interface through which a test controls all stand-ins of one
// process.

#ifndef STANDINS_CONTROL_H_
#define STANDINS_CONTROL_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "LibConfig/configuration.h"
#include "LibHttp/server.h"
#include "StandIns/key_value_service.h"
#include "StandIns/upstream_server.h"

namespace standins {

struct StandInAddresses {
  std::string store;  // Of the key-value service.
  std::string host_list;
  std::string control;
};

// Serves all servers of a configuration, the key-value service, the host list,
// and these control requests:
//   POST /servers  {"match": address, upstream or zone, faults...};
//                  replaces the faults of these servers, or of all servers if
//                  "match" is missing
//   POST /index    {"upstream", "version", "shardsPerService", "keepOld"}
//   POST /store    {faults...}; replaces the faults of the store
//   POST /hosts    {"hosts": [{"nodeId", "peerAddress"}...]}
//   GET  /records  what every server recorded, and the store's counts
class Control {
 public:
  static base::Result<std::unique_ptr<Control>> Create(
      boost::asio::io_context& io,
      config::Configuration configuration,
      const StandInAddresses& addresses);

 private:
  explicit Control(config::Configuration configuration)
      : configuration_(std::move(configuration)) {}
  base::Result<void> Start(boost::asio::io_context& io,
                           const StandInAddresses& addresses);
  http::Response Handle(const http::Request& request);
  void SetServers(const std::string& body);
  void SetIndex(const std::string& body);
  void SetStore(const std::string& body);
  std::string RecordsText();

  const config::Configuration configuration_;
  std::vector<std::unique_ptr<UpstreamServer>> servers_;
  std::unique_ptr<KeyValueService> store_;
  std::unique_ptr<http::Server> host_list_;
  std::unique_ptr<http::Server> control_;
  std::mutex mutex_;
  // The JSON text of the host list. Guarded by `mutex_`.
  std::string hosts_ = R"({"hosts":[]})";
};

// Returns the shards that the service with the index `service` holds if each
// service holds `shards_per_service`.
upstream::HeldIndex HeldIndexFor(size_t service,
                                 size_t service_count,
                                 uint32_t shards_per_service,
                                 uint64_t version);

}  // namespace standins

#endif  // STANDINS_CONTROL_H_

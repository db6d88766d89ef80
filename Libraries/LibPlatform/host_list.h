// Reads the platform's list of hosts. It lags behind the running hosts, so it
// is only used to find further gossip seeds.

#ifndef LIBPLATFORM_HOST_LIST_H_
#define LIBPLATFORM_HOST_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "LibBase/error.h"

namespace boost::asio {
class io_context;
}

namespace platform {

struct Host {
  std::string node_id;
  std::string peer_address;

  bool operator==(const Host&) const = default;
};

using HostsCallback = std::function<void(base::Result<std::vector<Host>>)>;

// Fetches the hosts by GET /hosts from the host list at `address`.
void FetchHosts(boost::asio::io_context& io,
                const std::string& address,
                HostsCallback callback);

}  // namespace platform

#endif  // LIBPLATFORM_HOST_LIST_H_

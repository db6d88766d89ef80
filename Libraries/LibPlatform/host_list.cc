// Fetches the host list over HTTP.

#include "LibPlatform/host_list.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibHttp/client.h"

namespace platform {

using nlohmann::json;

namespace {

constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1000);

base::Result<std::vector<Host>> ParseHosts(const std::string& text) {
  try {
    const json document = json::parse(text);
    std::vector<Host> hosts;
    for (const json& host : document.at("hosts"))
      hosts.push_back({host.at("nodeId").get<std::string>(),
                       host.at("peerAddress").get<std::string>()});
    return hosts;
  } catch (const json::exception& error) {
    return base::Fail(
        base::ErrorKind::kProtocol,
        std::string("the host list is not valid: ") + error.what(),
        "check the host list's address in the settings");
  }
}

}  // namespace

void FetchHosts(boost::asio::io_context& io,
                const std::string& address,
                HostsCallback callback) {
  http::ExchangeOnce(io, address, {"GET", "/hosts", {}, ""}, kCallTimeout,
                     [callback = std::move(callback)](auto result) {
                       if (result)
                         callback(ParseHosts(result->body));
                       else
                         callback(tl::make_unexpected(result.error().error));
                     });
}

}  // namespace platform

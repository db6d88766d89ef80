// Converts text addresses to Asio endpoints.

#include "LibHttp/address.h"

#include <charconv>

namespace http {

base::Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const size_t colon = address.rfind(':');
  boost::system::error_code error;
  uint16_t port = 0;
  if (colon != std::string::npos) {
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    const auto ip =
        boost::asio::ip::make_address(address.substr(0, colon), error);
    if (!error && parsed.ec == std::errc() && parsed.ptr == end)
      return boost::asio::ip::tcp::endpoint(ip, port);
  }
  return base::Fail(base::ErrorKind::kInvalidInput,
                    "'" + address + "' is not an IP:PORT",
                    "give a numeric IP address and a port");
}

}  // namespace http

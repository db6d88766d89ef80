// Converts text addresses to Asio endpoints.

#ifndef LIBHTTP_ADDRESS_H_
#define LIBHTTP_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "LibBase/error.h"

namespace http {

// Parses an `IP:PORT`.
base::Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

}  // namespace http

#endif  // LIBHTTP_ADDRESS_H_

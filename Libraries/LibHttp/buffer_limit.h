// The limit of the bytes that a connection holds before they are parsed.

#ifndef LIBHTTP_BUFFER_LIMIT_H_
#define LIBHTTP_BUFFER_LIMIT_H_

#include <cstddef>

namespace http {

// Beast limits headers and bodies, but neither the extension of a chunk nor the
// trailers: they would be held in memory until they end.
inline constexpr size_t kMaxBufferedBytes = size_t{128} * 1024;

}  // namespace http

#endif  // LIBHTTP_BUFFER_LIMIT_H_

// Digests, message authentication and constant-time comparison by OpenSSL.

#ifndef LIBBASE_DIGEST_H_
#define LIBBASE_DIGEST_H_

#include <string>
#include <string_view>

namespace base {

// Lower-case hexadecimal SHA-256.
std::string Sha256Hex(std::string_view data);

// Lower-case hexadecimal HMAC-SHA-256.
std::string HmacSha256Hex(std::string_view key, std::string_view data);

// Takes the same time wherever the two differ.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

// `bytes` random bytes from OpenSSL, in hexadecimal.
std::string RandomHex(int bytes);

}  // namespace base

#endif  // LIBBASE_DIGEST_H_

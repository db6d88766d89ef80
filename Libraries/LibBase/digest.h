// Digests, message authentication, constant-time comparison and random bytes.

#ifndef LIBBASE_DIGEST_H_
#define LIBBASE_DIGEST_H_

#include <string>
#include <string_view>

namespace base {

// Returns the SHA-256 of `data` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view data);

// Returns the HMAC-SHA-256 of `data` in lower-case hexadecimal.
std::string HmacSha256Hex(std::string_view key, std::string_view data);

// Returns whether `a` and `b` are equal, in a time that doesn't depend on where
// they differ.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

// Returns `byte_count` random bytes from OpenSSL in lower-case hexadecimal.
std::string RandomHex(int byte_count);

}  // namespace base

#endif  // LIBBASE_DIGEST_H_

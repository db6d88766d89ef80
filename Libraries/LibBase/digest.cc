// Implements digests and random bytes with OpenSSL.

#include "LibBase/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>
#include <span>
#include <vector>

namespace base {

namespace {

std::string ToHex(std::span<const unsigned char> bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(data.data(), data.size(), digest, &size, EVP_sha256(), nullptr);
  return ToHex({digest, size});
}

std::string HmacSha256Hex(std::string_view key, std::string_view data) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest,
       &size);
  return ToHex({digest, size});
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomHex(int byte_count) {
  std::vector<unsigned char> buffer(static_cast<size_t>(byte_count));
  // NOTE: There is no fallback, since tickets that are signed with a
  // predictable key can be forged.
  if (RAND_bytes(buffer.data(), byte_count) != 1)
    std::abort();
  return ToHex(buffer);
}

}  // namespace base

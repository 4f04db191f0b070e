#include "core/base/mac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

#include "core/base/check.h"

namespace peridot {

std::string make_mac(std::string_view key, std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  const unsigned char* result = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
                                     reinterpret_cast<const unsigned char*>(data.data()),
                                     data.size(), digest.data(), &length);
  PERIDOT_CHECK(result != nullptr && length == mac_bytes, "HMAC-SHA256 is not available");
  return std::string(reinterpret_cast<const char*>(digest.data()), length);
}

bool check_mac(std::string_view key, std::string_view data, std::string_view mac) {
  if (mac.size() != mac_bytes) {
    return false;
  }
  const std::string expected = make_mac(key, data);
  return CRYPTO_memcmp(expected.data(), mac.data(), mac_bytes) == 0;
}

}  // namespace peridot

#include "core/base/mac.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <array>

#include "core/base/check.h"

namespace peridot {

namespace {

// OpenSSL looks algorithms up and prepares keys at a cost above that of the code itself:
// both are done once for each thread and key.
struct mac_context {
  EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  EVP_MAC_CTX* context = EVP_MAC_CTX_new(algorithm);
  std::string key;
  bool has_key = false;

  mac_context() = default;
  mac_context(const mac_context&) = delete;
  mac_context& operator=(const mac_context&) = delete;
  ~mac_context() {
    EVP_MAC_CTX_free(context);
    EVP_MAC_free(algorithm);
  }
};

bool start_mac(mac_context& mac, std::string_view key) {
  if (mac.has_key && mac.key == key) {
    return EVP_MAC_init(mac.context, nullptr, 0, nullptr) == 1;
  }
  char digest[] = "SHA256";
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
      OSSL_PARAM_construct_end()};
  mac.key = key;
  mac.has_key = true;
  return EVP_MAC_init(mac.context, reinterpret_cast<const unsigned char*>(key.data()), key.size(),
                      parameters) == 1;
}

}  // namespace

std::string compute_mac(std::string_view key, std::string_view data) {
  thread_local mac_context mac;
  std::array<unsigned char, mac_bytes> digest{};
  std::size_t length = 0;
  const bool made = mac.context != nullptr && start_mac(mac, key) &&
                    EVP_MAC_update(mac.context, reinterpret_cast<const unsigned char*>(data.data()),
                                   data.size()) == 1 &&
                    EVP_MAC_final(mac.context, digest.data(), &length, digest.size()) == 1;
  PERIDOT_CHECK(made && length == mac_bytes, "HMAC-SHA256 is not available");
  return std::string(reinterpret_cast<const char*>(digest.data()), length);
}

bool verify_mac(std::string_view key, std::string_view data, std::string_view mac) {
  if (mac.size() != mac_bytes) {
    return false;
  }
  const std::string expected = compute_mac(key, data);
  return CRYPTO_memcmp(expected.data(), mac.data(), mac_bytes) == 0;
}

}  // namespace peridot

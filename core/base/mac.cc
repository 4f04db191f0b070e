#include "core/base/mac.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <array>

#include "core/base/check.h"

namespace peridot {

namespace {

// Fetching the algorithm and setting up the key take longer than computing the MAC, so each
// thread keeps its context and sets up the key only when it changes.
struct mac_context {
  EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  EVP_MAC_CTX* handle = EVP_MAC_CTX_new(algorithm);
  std::string key;
  bool has_key = false;

  mac_context() = default;
  mac_context(const mac_context&) = delete;
  mac_context& operator=(const mac_context&) = delete;
  ~mac_context() {
    EVP_MAC_CTX_free(handle);
    EVP_MAC_free(algorithm);
  }
};

bool init_mac(mac_context& context, std::string_view key) {
  if (context.has_key && context.key == key) {
    return EVP_MAC_init(context.handle, nullptr, 0, nullptr) == 1;
  }
  char digest[] = "SHA256";
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
      OSSL_PARAM_construct_end()};
  context.key = key;
  context.has_key = true;
  return EVP_MAC_init(context.handle, reinterpret_cast<const unsigned char*>(key.data()),
                      key.size(), parameters) == 1;
}

}  // namespace

std::string compute_mac(std::string_view key, std::string_view data) {
  thread_local mac_context context;
  std::array<unsigned char, mac_bytes> digest{};
  std::size_t length = 0;
  const bool succeeded =
      context.handle != nullptr && init_mac(context, key) &&
      EVP_MAC_update(context.handle, reinterpret_cast<const unsigned char*>(data.data()),
                     data.size()) == 1 &&
      EVP_MAC_final(context.handle, digest.data(), &length, digest.size()) == 1;
  PERIDOT_CHECK(succeeded && length == mac_bytes, "OpenSSL failed to compute HMAC-SHA256");
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

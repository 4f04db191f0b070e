// Message authentication codes (MAC) with the fleet key.
//
// HMAC-SHA256 (RFC 2104), computed by OpenSSL. Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>

namespace peridot {

inline constexpr std::size_t mac_bytes = 32;

// The MAC of the data as mac_bytes raw bytes.
std::string compute_mac(std::string_view key, std::string_view data);

// Compares in constant time. False for a MAC of another length.
bool verify_mac(std::string_view key, std::string_view data, std::string_view mac);

}  // namespace peridot

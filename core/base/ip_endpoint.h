// IP address and port as text, "10.0.0.7:7400" or "[fd00::7]:7400".
//
// Addresses identify routers and targets, so each endpoint must have exactly one
// spelling: host names, leading zeros, non-canonical IPv6 addresses and the unspecified
// address are rejected.
//
// Thread safety: pure functions.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

struct ip_endpoint {
  std::string ip;  // without brackets
  std::uint16_t port = 0;
  bool v6 = false;
};

// The parsed endpoint, or nullopt if endpoint_problem() is not empty. Port 0 is rejected.
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

// Why parse_ip_endpoint() rejects `text`; empty if it accepts it.
std::string endpoint_problem(std::string_view text);

// The endpoint as a sockaddr_in, for use with the socket API. Precondition: it is an IPv4 endpoint.
sockaddr_in to_socket_address(const ip_endpoint& endpoint);

}  // namespace peridot

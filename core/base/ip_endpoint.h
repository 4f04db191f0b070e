// IP number and port as text, "10.0.0.7:7400" or "[fd00::7]:7400".
//
// Addresses identify routers and targets, so that one endpoint must have one
// spelling: host names, leading zeros, other spellings of an IPv6 number and the
// unspecified address are refused.
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

// The parts of a well-formed address, otherwise nothing. Port 0 is refused.
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

// Why parse_ip_endpoint() refuses `text`, empty if it does not.
std::string endpoint_problem(std::string_view text);

// The address for the socket calls. Precondition: an IPv4 endpoint.
sockaddr_in to_socket_address(const ip_endpoint& endpoint);

}  // namespace peridot

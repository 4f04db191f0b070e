#include "core/base/ip_endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace peridot {
namespace {

constexpr std::string_view expected_form = "must be IP:port, e.g. 10.0.0.7:8080 or [fd00::7]:8080";

// `problem` is empty if the endpoint is valid.
struct endpoint_result {
  ip_endpoint endpoint;
  std::string problem;
};

// The canonical form of an IP address; empty if `ip` is not an address.
std::string canonical_ip(const std::string& ip, bool v6) {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  std::array<char, INET6_ADDRSTRLEN> text{};
  const int family = v6 ? AF_INET6 : AF_INET;
  if (inet_pton(family, ip.c_str(), binary.data()) != 1) {
    return "";
  }
  if (inet_ntop(family, binary.data(), text.data(), text.size()) == nullptr) {
    return "";
  }
  return text.data();
}

bool parse_port(std::string_view text, std::uint16_t& port) {
  if (text.empty() || text.front() == '0') {
    return false;
  }
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), port);
  return result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

endpoint_result parse_endpoint(std::string_view text) {
  endpoint_result result;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
    result.problem = expected_form;
    return result;
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    result.endpoint.v6 = true;
    host = host.substr(1, host.size() - 2);
  }
  result.endpoint.ip = host;
  const std::string canonical = canonical_ip(result.endpoint.ip, result.endpoint.v6);
  if (canonical.empty()) {
    result.problem = expected_form;
  } else if (canonical != host) {
    result.problem = "the IP address must be written in canonical form, as " + canonical;
  } else if (canonical == "0.0.0.0" || canonical == "::") {
    result.problem = "must not be the unspecified address";
  } else if (!parse_port(text.substr(colon + 1), result.endpoint.port)) {
    result.problem = "must have a port from 1 to 65535 without leading zeros";
  }
  return result;
}

}  // namespace

std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text) {
  endpoint_result result = parse_endpoint(text);
  if (!result.problem.empty()) {
    return std::nullopt;
  }
  return std::move(result.endpoint);
}

std::string endpoint_problem(std::string_view text) {
  return parse_endpoint(text).problem;
}

sockaddr_in to_socket_address(const ip_endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace peridot

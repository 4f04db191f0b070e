// Blocking HTTP GET for the operators' tool. Routers do not use it: it runs an
// event loop of its own until every answer is in or the time is up.
//
//   http_get_result result = http_get("10.0.0.7:8080", "/status", 2s, 1 << 20);
//   if (result.error.has_value()) { print(to_text(*result.error)); }
//
// Budget: max_parallel_gets connections at once, `max_bytes` a body.
// Thread safety: each call has its own loop; calls may run in parallel.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

inline constexpr std::size_t max_parallel_gets = 32;

// Where a GET failed.
enum class http_get_step { address, connect, request, answer, timeout };

const char* to_text(http_get_step step);

struct http_get_error {
  http_get_step step = http_get_step::connect;
  std::string peer;     // the address as given
  std::string problem;  // short
};

// "10.0.0.7:8080: connect: refused or unreachable".
std::string to_text(const http_get_error& error);

// An answer with a status other than 200 is an error of step `answer`.
struct http_get_result {
  std::string body;
  std::optional<http_get_error> error;
};

// Precondition: `path` starts with '/', `timeout` is positive. `timeout` bounds
// the whole call.
http_get_result http_get(const std::string& address, const std::string& path,
                         std::chrono::milliseconds timeout, std::size_t max_bytes);

// The same from several addresses at once; results in the order of `addresses`.
// `timeout` bounds each group of max_parallel_gets.
std::vector<http_get_result> http_get_all(const std::vector<std::string>& addresses,
                                          const std::string& path,
                                          std::chrono::milliseconds timeout, std::size_t max_bytes);

}  // namespace peridot

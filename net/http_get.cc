// A group of GETs shares one event loop. The loop ends when the last one is done
// or when the group's timer fires; what is not done by then has timed out.
#include "net/http_get.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <memory>

#include "core/check.h"
#include "core/ip_endpoint.h"

namespace peridot {
namespace {

constexpr std::size_t max_answer_header_bytes = 16'384;

struct event_base_deleter {
  void operator()(event_base* base) const {
    event_base_free(base);
  }
};

struct connection_deleter {
  void operator()(evhttp_connection* connection) const {
    evhttp_connection_free(connection);
  }
};

using event_base_ptr = std::unique_ptr<event_base, event_base_deleter>;
using connection_ptr = std::unique_ptr<evhttp_connection, connection_deleter>;

// The loop of a group and how many GETs it waits for.
struct get_group {
  event_base_ptr base;
  std::size_t pending = 0;
};

// One GET. Its address must not change while the loop runs.
struct pending_get {
  get_group* group = nullptr;
  std::string address;
  bool done = false;
  http_get_result result;
  connection_ptr connection;
};

void fail(pending_get& get, http_get_step step, std::string problem) {
  if (!get.result.error.has_value()) {
    get.result.error = http_get_error{step, get.address, std::move(problem)};
  }
}

void finish(pending_get& get) {
  if (get.done) {
    return;
  }
  get.done = true;
  --get.group->pending;
  if (get.group->pending == 0) {
    event_base_loopbreak(get.group->base.get());
  }
}

void on_error(evhttp_request_error error, void* argument) {
  pending_get& get = *static_cast<pending_get*>(argument);
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      fail(get, http_get_step::timeout, "no answer in time");
      break;
    case EVREQ_HTTP_DATA_TOO_LONG:
      fail(get, http_get_step::answer, "longer than the limit");
      break;
    case EVREQ_HTTP_EOF:
      fail(get, http_get_step::answer, "connection closed before the end");
      break;
    case EVREQ_HTTP_INVALID_HEADER:
      fail(get, http_get_step::answer, "not a valid HTTP answer");
      break;
    case EVREQ_HTTP_BUFFER_ERROR:
    case EVREQ_HTTP_REQUEST_CANCEL:
      fail(get, http_get_step::answer, "connection failed");
      break;
  }
}

// Called once for every request, with null after on_error().
void on_done(evhttp_request* request, void* argument) {
  pending_get& get = *static_cast<pending_get*>(argument);
  if (request == nullptr) {
    fail(get, http_get_step::answer, "connection failed");
    finish(get);
    return;
  }
  const int status = evhttp_request_get_response_code(request);
  if (status == 0) {
    fail(get, http_get_step::connect, "refused or unreachable");
  } else if (status != HTTP_OK) {
    fail(get, http_get_step::answer, "status " + std::to_string(status));
  } else {
    evbuffer* body = evhttp_request_get_input_buffer(request);
    get.result.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, get.result.body.data(), get.result.body.size());
  }
  finish(get);
}

void on_time_up(evutil_socket_t, short, void* argument) {
  event_base_loopbreak(static_cast<event_base*>(argument));
}

timeval to_timeval(std::chrono::milliseconds time) {
  const std::chrono::seconds seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  const std::chrono::microseconds rest = time - seconds;
  return {static_cast<time_t>(seconds.count()), static_cast<suseconds_t>(rest.count())};
}

void start(pending_get& get, const std::string& path, std::size_t max_bytes) {
  const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(get.address);
  if (!endpoint.has_value()) {
    fail(get, http_get_step::address, endpoint_problem(get.address));
    get.done = true;
    return;
  }
  get.connection.reset(evhttp_connection_base_new(get.group->base.get(), nullptr,
                                                  endpoint->ip.c_str(), endpoint->port));
  PERIDOT_CHECK(get.connection != nullptr, "no memory for a connection");
  evhttp_connection_set_max_body_size(get.connection.get(), static_cast<ev_ssize_t>(max_bytes));
  evhttp_connection_set_max_headers_size(get.connection.get(), max_answer_header_bytes);
  evhttp_request* request = evhttp_request_new(on_done, &get);
  PERIDOT_CHECK(request != nullptr, "no memory for a request");
  evhttp_request_set_error_cb(request, on_error);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", get.address.c_str());
  evhttp_add_header(headers, "Connection", "close");
  ++get.group->pending;
  if (evhttp_make_request(get.connection.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0) {
    fail(get, http_get_step::request, "cannot be sent");
    finish(get);
  }
}

void run_group(std::vector<pending_get>& gets, const std::string& path,
               std::chrono::milliseconds timeout, std::size_t max_bytes) {
  get_group group{event_base_ptr{event_base_new()}, 0};
  PERIDOT_CHECK(group.base != nullptr, "no event loop");
  for (pending_get& get : gets) {
    get.group = &group;
    start(get, path, max_bytes);
  }
  const timeval limit = to_timeval(timeout);
  event_base_once(group.base.get(), -1, EV_TIMEOUT, on_time_up, group.base.get(), &limit);
  if (group.pending > 0) {
    event_base_dispatch(group.base.get());
  }
  for (pending_get& get : gets) {
    if (!get.done) {
      fail(get, http_get_step::timeout, "no answer in time");
    }
    get.connection.reset();
  }
}

}  // namespace

const char* to_text(http_get_step step) {
  switch (step) {
    case http_get_step::address:
      return "address";
    case http_get_step::connect:
      return "connect";
    case http_get_step::request:
      return "request";
    case http_get_step::answer:
      return "answer";
    case http_get_step::timeout:
      return "timeout";
  }
  return "connect";
}

std::string to_text(const http_get_error& error) {
  return error.peer + ": " + to_text(error.step) + ": " + error.problem;
}

http_get_result http_get(const std::string& address, const std::string& path,
                         std::chrono::milliseconds timeout, std::size_t max_bytes) {
  return std::move(http_get_all({address}, path, timeout, max_bytes).front());
}

std::vector<http_get_result> http_get_all(const std::vector<std::string>& addresses,
                                          const std::string& path,
                                          std::chrono::milliseconds timeout,
                                          std::size_t max_bytes) {
  PERIDOT_CHECK(path.starts_with('/'), "a path starts with a slash");
  PERIDOT_CHECK(timeout.count() > 0, "a timeout is positive");
  std::vector<http_get_result> results;
  for (std::size_t first = 0; first < addresses.size(); first += max_parallel_gets) {
    const std::size_t count = std::min(max_parallel_gets, addresses.size() - first);
    std::vector<pending_get> gets(count);
    for (std::size_t index = 0; index < count; ++index) {
      gets[index].address = addresses[first + index];
    }
    run_group(gets, path, timeout, max_bytes);
    for (pending_get& get : gets) {
      results.push_back(std::move(get.result));
    }
  }
  return results;
}

}  // namespace peridot

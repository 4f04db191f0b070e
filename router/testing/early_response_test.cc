// Targets that respond while a long upload is still being written, over connections.
#include <list>
#include <string>

#include "router/testing/router_fixture.h"

using namespace peridot;
using namespace peridot::testing;

namespace {

// What a target does once it has sent its response, of whose request it has read a part.
enum class after_response {
  reset,               // resets the connection
  close_then_reset,    // ends its side, and closes with the request unread: a reset follows
  close_and_read,      // ends its side, and reads the rest of the request
  keep_open_and_read,  // reads the rest of the request
};

constexpr milliseconds close_delay{20};
constexpr std::size_t first_read_bytes = 4'096;

struct upload_target {
  std::string response;
  after_response behaviour = after_response::reset;
  evconnlistener* listener = nullptr;
  bufferevent* connection = nullptr;
  event_ptr timer;
  bool responded = false;
  std::size_t received = 0;
  ~upload_target() {
    if (connection != nullptr) {
      bufferevent_free(connection);
    }
    evconnlistener_free(listener);
  }
};

void end_connection(evutil_socket_t, short, void* argument) {
  upload_target& target = *static_cast<upload_target*>(argument);
  if (target.connection == nullptr) {
    return;
  }
  const evutil_socket_t socket = bufferevent_getfd(target.connection);
  switch (target.behaviour) {
    case after_response::reset: {
      const linger reset_on_close{1, 0};
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
      bufferevent_free(std::exchange(target.connection, nullptr));
      break;
    }
    case after_response::close_then_reset: {
      shutdown(socket, SHUT_WR);
      target.behaviour = after_response::reset;
      const timeval delay = to_timeval(close_delay);
      event_add(target.timer.get(), &delay);
      break;
    }
    case after_response::close_and_read:
      shutdown(socket, SHUT_WR);
      bufferevent_enable(target.connection, EV_READ);
      break;
    case after_response::keep_open_and_read:
      bufferevent_enable(target.connection, EV_READ);
      break;
  }
}

void on_upload_read(bufferevent* connection, void* argument) {
  upload_target& target = *static_cast<upload_target*>(argument);
  evbuffer* input = bufferevent_get_input(connection);
  target.received += evbuffer_get_length(input);
  evbuffer_drain(input, evbuffer_get_length(input));
  if (!std::exchange(target.responded, true)) {
    bufferevent_disable(connection, EV_READ);
    bufferevent_write(connection, target.response.data(), target.response.size());
    const timeval delay = to_timeval(close_delay);
    event_add(target.timer.get(), &delay);
  }
}

void on_upload_event(bufferevent*, short events, void* argument) {
  upload_target& target = *static_cast<upload_target*>(argument);
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 && target.connection != nullptr) {
    bufferevent_free(std::exchange(target.connection, nullptr));
  }
}

void on_upload_accept(evconnlistener* listener, evutil_socket_t socket, sockaddr*, int,
                      void* argument) {
  upload_target& target = *static_cast<upload_target*>(argument);
  target.connection =
      bufferevent_socket_new(evconnlistener_get_base(listener), socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(target.connection, on_upload_read, nullptr, on_upload_event, &target);
  bufferevent_set_max_single_read(target.connection, first_read_bytes);
  bufferevent_enable(target.connection, EV_READ | EV_WRITE);
}

// The router's only target.
void listen_for_uploads(router_fixture& fixture, upload_target& target) {
  event_base* base = fixture.router.base.get();
  sockaddr_in address = loopback(0);
  target.listener =
      evconnlistener_new_bind(base, on_upload_accept, &target, LEV_OPT_CLOSE_ON_FREE, -1,
                              reinterpret_cast<sockaddr*>(&address), sizeof(address));
  target.timer.reset(evtimer_new(base, end_connection, &target));
  fixture.router.store.targets.targets.begin()->second.entry.address =
      bound_address(evconnlistener_get_fd(target.listener));
}

struct upload_result {
  caller_view view;
  std::size_t received = 0;  // by the target
};

upload_result upload(const std::string& response, after_response behaviour,
                     std::size_t body_bytes) {
  router_fixture fixture;
  start(fixture, 1);
  upload_target target;
  target.response = response;
  target.behaviour = behaviour;
  listen_for_uploads(fixture, target);
  raw_caller caller;
  connect_caller(fixture.router.base.get(), caller, fixture.port);
  send_raw(caller,
           "POST /once/1 HTTP/1.1\r\nHost: app.example\r\nX-Peridotspur-Attempt-Id: c1\r\n"
           "Content-Length: " +
               std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'u'));
  CHECK(run_until(fixture.router.base.get(),
                  [&caller]() { return caller.closed || decode_response_of(caller).complete; }));
  return {decode_response_of(caller), target.received};
}

const std::string part = "the first part of a body";
const std::string without_length = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + part;
const std::string with_length =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(part.size()) + "\r\n\r\n" + part;
constexpr std::size_t long_upload = 3 << 20;  // more than the kernel takes
constexpr std::size_t short_upload = 200;

}  // namespace

// Guards against MIXED: a target that had broken off was told as a whole response, because its side
// of the connection ended before the reset arrived.
TEST_CASE(
    "a response without length during an upload is whole only if the target goes on reading") {
  SUBCASE("the connection is reset") {
    const upload_result result = upload(without_length, after_response::reset, long_upload);
    CHECK(result.view.status == 502);
    CHECK(result.view.body.find(part) == std::string::npos);
  }
  SUBCASE("the target closes, and the connection is reset after that") {
    const upload_result result =
        upload(without_length, after_response::close_then_reset, long_upload);
    CHECK(result.view.status == 502);
    CHECK(result.view.body.find(part) == std::string::npos);
  }
  SUBCASE("the target ends its response, and reads the rest of the upload") {
    const upload_result result =
        upload(without_length, after_response::close_and_read, long_upload);
    CHECK(result.view.status == 200);
    CHECK(result.view.complete);
    CHECK(result.view.body == part);
    CHECK(result.received > long_upload);
  }
}

TEST_CASE("other responses during an upload reach the caller whole") {
  SUBCASE("with a length: the target reads on") {
    const upload_result result =
        upload(with_length, after_response::keep_open_and_read, long_upload);
    CHECK(result.view.status == 200);
    CHECK(result.view.body == part);
  }
  SUBCASE("with a length, and the target closes") {
    const upload_result result = upload(with_length, after_response::close_then_reset, long_upload);
    CHECK(result.view.status == 200);
    CHECK(result.view.body == part);
  }
  SUBCASE("without a length, and the request had arrived") {
    const upload_result result =
        upload(without_length, after_response::close_and_read, short_upload);
    CHECK(result.view.status == 200);
    CHECK(result.view.complete);
    CHECK(result.view.body == part);
  }
}

// Forwards TCP connections. Stopped by SIGSTOP, it is a path on which nothing passes any more.
//
//   proxy LISTEN_ADDRESS TARGET_ADDRESS
#include <thread>

#include "review/standins/http_io.h"

namespace {

void forward(int from, int to) {
  char bytes[65'536];
  while (true) {
    const ssize_t count = recv(from, bytes, sizeof(bytes), 0);
    if (count <= 0 || !review::send_all(to, std::string(bytes, static_cast<std::size_t>(count)))) {
      break;
    }
  }
  shutdown(from, SHUT_RDWR);
  shutdown(to, SHUT_RDWR);
}

void serve(int client, const std::string& target) {
  const int server = review::connect_to(target);
  if (server >= 0) {
    review::set_no_delay(client);
    std::thread back(forward, server, client);
    forward(client, server);
    back.join();
    close(server);
  }
  close(client);
}

}  // namespace

int main(int argc, char** argv) {
  const int listener = argc == 3 ? review::listen_on(argv[1]) : -1;
  if (listener < 0) {
    return 2;
  }
  while (true) {
    const int client = accept(listener, nullptr, nullptr);
    if (client >= 0) {
      std::thread(serve, client, std::string(argv[2])).detach();
    }
  }
}

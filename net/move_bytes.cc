#include "net/move_bytes.h"

#include <algorithm>

namespace peridot {
namespace {

constexpr std::size_t growth_divisor = 4;

}  // namespace

void move_bytes(evbuffer* input, std::size_t count, std::string& output) {
  const std::size_t old_size = output.size();
  if (old_size + count > output.capacity()) {
    output.reserve(std::max(old_size + count, old_size + old_size / growth_divisor));
  }
  output.resize(old_size + count);
  evbuffer_remove(input, output.data() + old_size, count);
}

}  // namespace peridot

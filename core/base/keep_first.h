// Selection of the first elements of an order.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace peridot {

// Sorts the first `max_count` elements by `before` and drops the others. Pure function.
// Cost: n log(max_count) comparisons.
template <class T, class Before>
void keep_first(std::vector<T>& values, std::size_t max_count, Before before) {
  const std::size_t count = std::min(values.size(), max_count);
  std::partial_sort(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(count),
                    values.end(), before);
  values.resize(count);
}

}  // namespace peridot

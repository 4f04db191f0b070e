// Tables of what routers say about themselves, for operators.
//
// A router's status is lines of `key=value` fields; a first word without '='
// names the kind of line, and a later one belongs to the value before it. Lines
// of one kind with the same keys, of all routers, form one table. Nothing is
// assumed about which keys there are.
//
// Thread safety: pure functions.
#pragma once

#include <string>
#include <vector>

namespace peridot {

// What one router answered.
struct router_status {
  std::string router;  // its HTTP address
  std::string text;    // body of its status page
};

// A table for each kind of line, columns aligned, in order of first appearance.
std::string status_tables(const std::vector<router_status>& statuses);

}  // namespace peridot

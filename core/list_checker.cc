// The part of config_checker.h that reads the platform's list of instances.
#include <limits>

#include "core/config_checker.h"
#include "core/document_reader.h"
#include "core/document_tree.h"

namespace peridot {
namespace {

constexpr std::size_t max_listed_routers = 10'000;
constexpr std::size_t max_listed_targets = 20'000;
constexpr value_range<std::int64_t> version_range{1, std::numeric_limits<std::int64_t>::max()};

constexpr choice<instance_state> states[] = {{"live", instance_state::live},
                                             {"leaving", instance_state::leaving}};

void read_routers(table_reader& root, std::vector<listed_router>& routers) {
  first_lines addresses;
  for (table_reader& reader : read_tables(root, "router", max_listed_routers)) {
    listed_router router;
    read_endpoint(reader, "address", presence::required, router.address.value);
    read_endpoint(reader, "http_address", presence::required, router.http_address);
    read_name(reader, "failure_domain", presence::required, router.domain.value);
    read_choice(reader, "state", states, router.state);
    check_unknown_keys(reader);
    check_unique(reader, "address", router.address.value, addresses);
    check_unique(reader, "http_address", router.http_address, addresses);
    routers.push_back(std::move(router));
  }
}

void read_targets(table_reader& root, std::vector<listed_target>& targets) {
  first_lines names;
  for (table_reader& reader : read_tables(root, "target", max_listed_targets)) {
    listed_target target;
    read_name(reader, "name", presence::required, target.name.value);
    read_choice(reader, "state", states, target.state);
    check_unknown_keys(reader);
    check_unique(reader, "name", target.name.value, names);
    targets.push_back(std::move(target));
  }
}

}  // namespace

list_result parse_instance_list(std::string_view text, std::string_view file) {
  tree_result tree = parse_document_tree(text, file);
  if (!tree.root.has_value()) {
    return {nullptr, std::move(tree.errors)};
  }
  error_list problems{std::string{file}, {}};
  std::shared_ptr<instance_list> list = std::make_shared<instance_list>();
  table_reader reader = root_reader(*tree.root, problems);
  read_integer(reader, "version", presence::required, version_range, list->version);
  read_routers(reader, list->routers);
  read_targets(reader, list->targets);
  check_unknown_keys(reader);
  if (!problems.errors.empty()) {
    sort_by_line(problems.errors);
    return {nullptr, std::move(problems.errors)};
  }
  list->text = text;
  return {std::move(list), {}};
}

}  // namespace peridot

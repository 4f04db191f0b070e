#include "core/config_checker.h"

#include <limits>

#include "core/config_sections.h"
#include "core/document_reader.h"
#include "core/document_tree.h"
#include "core/peer_messages.h"

namespace peridot {
namespace {

constexpr value_range<std::int64_t> version_range{1, std::numeric_limits<std::int64_t>::max()};

void read_config(const document_value& root, error_list& problems, published_config& config) {
  table_reader reader = root_reader(root, problems);
  section_readers readers;
  read_integer(reader, "version", presence::required, version_range, config.version);
  read_fleet(reader, config.fleet);
  read_domains(reader, config.domains);
  readers.profiles = read_profiles(reader, config.profiles);
  read_organisations(reader, config.organisations);
  readers.targets = read_targets(reader, config.targets);
  check_unknown_keys(reader);
  check_references(config, readers);
}

}  // namespace

config_result parse_published_config(std::string_view text, std::string_view file) {
  tree_result tree = parse_document_tree(text, file);
  if (!tree.root.has_value()) {
    return {nullptr, std::move(tree.errors)};
  }
  error_list problems{std::string{file}, {}};
  std::shared_ptr<published_config> config = std::make_shared<published_config>();
  read_config(*tree.root, problems, *config);
  if (!problems.errors.empty()) {
    sort_by_line(problems.errors);
    return {nullptr, std::move(problems.errors)};
  }
  config->text = text;
  config->digest = stable_hash(text);
  return {std::move(config), {}};
}

}  // namespace peridot

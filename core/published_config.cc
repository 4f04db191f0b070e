#include "core/published_config.h"

#include <algorithm>

namespace peridot {
namespace {

template <class Entry, class Name>
const Entry* find_named(const std::vector<Entry>& entries, const Name& name) {
  auto found = std::find_if(entries.begin(), entries.end(),
                            [&name](const Entry& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

}  // namespace

const profile_config* find_profile(const published_config& config, const profile_name& name) {
  return find_named(config.profiles, name);
}

const organisation_config* find_organisation(const published_config& config,
                                             const organisation_name& name) {
  return find_named(config.organisations, name);
}

const target_config* find_target(const published_config& config, const target_name& name) {
  return find_named(config.targets, name);
}

bool is_withdrawn(const published_config& config, const instance_list& list,
                  const target_config& target) {
  if (target.drained) {
    return true;
  }
  const domain_config* domain = find_named(config.domains, target.domain);
  if (domain != nullptr && domain->out) {
    return true;
  }
  const listed_target* listed = find_named(list.targets, target.name);
  return listed != nullptr && listed->state == instance_state::leaving;
}

std::vector<pool_name> pools(const published_config& config) {
  std::vector<pool_name> result;
  for (const target_config& target : config.targets) {
    result.push_back(target.pool);
  }
  std::sort(result.begin(), result.end());
  result.erase(std::unique(result.begin(), result.end()), result.end());
  return result;
}

}  // namespace peridot

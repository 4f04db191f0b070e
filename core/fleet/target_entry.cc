#include "core/fleet/target_entry.h"

#include "core/base/stable_hash.h"

namespace peridot {

std::string to_text(const store_revision& revision) {
  return std::to_string(revision.epoch) + ":" + std::to_string(revision.number);
}

build_id build_of(const target_entry& target) {
  const std::uint64_t pool_hash = stable_hash(target.pool.value);
  return static_cast<build_id>(
      target.build.empty() ? stable_hash(target.name.value, pool_hash + static_cast<std::uint64_t>(
                                                                            target.started_unix_ms))
                           : stable_hash(target.build, pool_hash));
}

std::uint32_t incarnation_hash(const target_entry& target) {
  return static_cast<std::uint32_t>(
      stable_hash(target.name.value, static_cast<std::uint64_t>(target.started_unix_ms)));
}

}  // namespace peridot

// Documents of a fleet that is measured for its cost.

#include <sstream>

#include "experiment/capacity_fleet.h"

namespace peridot::experiment {

std::string capacity_config_text(const capacity_options& options, std::uint64_t version) {
  std::ostringstream out;
  out << "version = " << version << "\n[fleet]\nshards_per_pool = " << options.shards_per_pool
      << "\n";
  for (std::uint32_t index = 0; index < options.domains; ++index) {
    out << "[[failure_domain]]\nname = \"domain-" << index << "\"\n";
  }
  for (std::uint32_t index = 0; index < options.pools; ++index) {
    out << "[[profile]]\nname = \"profile-" << index << "\"\npool = \"model-" << index
        << "\"\nqueue_deadline_ms = 60000\n";
  }
  for (std::uint32_t index = 0; index < options.organisations; ++index) {
    out << "[[organisation]]\nname = \"organisation-" << index << "\"\nweight = 1.0\n";
  }
  for (std::uint32_t index = 0; index < options.targets; ++index) {
    out << "[[target]]\nname = \"engine-" << index << "\"\naddress = \"10." << index / 65'536 << "."
        << index / 256 % 256 << "." << index % 256 << ":8000\"\npool = \"model-"
        << index % options.pools << "\"\nfailure_domain = \"domain-" << index % options.domains
        << "\"\nkind = \"model_engine\"\nwarm_limit = " << options.target_slots
        << "\ncold_limit = " << options.target_slots << "\nreserved_slots = 0\n";
  }
  return out.str();
}

std::string capacity_list_text(const capacity_options& options) {
  std::ostringstream out;
  out << "version = 1\n";
  for (std::uint32_t index = 0; index < options.routers; ++index) {
    out << "[[router]]\naddress = \"127.0.0.1:" << 7'000 + index
        << "\"\nhttp_address = \"127.0.0.1:" << 18'000 + index << "\"\nfailure_domain = \"domain-"
        << index % options.domains << "\"\nstate = \"live\"\n";
  }
  return out.str();
}

}  // namespace peridot::experiment

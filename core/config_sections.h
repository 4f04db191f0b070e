// Reads the sections of a published configuration, one function a section.
//
// Each appends the entries of its section to the configuration, also those with
// a bad key, so that later checks can name every further fault; the caller drops
// the configuration if anything was reported. check_references() runs last and
// looks at what only the whole document tells.
//
// Private to config_checker.cc. Thread safety: pure functions.
#pragma once

#include "core/document_reader.h"
#include "core/published_config.h"

namespace peridot {

inline constexpr std::size_t max_domains = 1'000;
inline constexpr std::size_t max_profiles = 1'000;
inline constexpr std::size_t max_organisations = 20'000;
inline constexpr std::size_t max_targets = 20'000;

// Readers of the sections whose entries refer to other sections, for the lines.
struct section_readers {
  std::vector<table_reader> profiles;
  std::vector<table_reader> targets;
};

void read_fleet(table_reader& root, fleet_config& fleet);
void read_domains(table_reader& root, std::vector<domain_config>& domains);
void read_organisations(table_reader& root, std::vector<organisation_config>& organisations);
std::vector<table_reader> read_profiles(table_reader& root, std::vector<profile_config>& profiles);
std::vector<table_reader> read_targets(table_reader& root, std::vector<target_config>& targets);

// Reports names of failure domains and pools that nothing defines.
void check_references(const published_config& config, const section_readers& readers);

}  // namespace peridot

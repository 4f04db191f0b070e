// What the load tool counted, and how it prints it.
//
// Thread safety: none; functions over a plain table.
#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "core/types.h"

namespace peridot::standins {

struct organisation_counts {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t units = 0;  // tokens received, and one for each record
  double weight = 1;
  std::vector<double> first_token;  // milliseconds from arrival, of engines' answers
};

struct load_counts {
  std::uint64_t calls = 0;     // that arrived
  std::uint64_t attempts = 0;  // requests sent, without those for keys
  std::uint64_t answered = 0;
  std::map<std::string, std::uint64_t> not_run;  // final refusals, by reason
  std::map<std::string, std::uint64_t> failed;   // after they ran, by reason
  std::map<std::string, std::uint64_t> unknown;  // by reason
  std::uint64_t broken = 0;                      // the connection broke after the answer had begun
  std::uint64_t cut = 0;                         // ended as if whole, but is not
  std::uint64_t wrong = 0;                       // not the answer to this request
  std::uint64_t unreached = 0;                   // no router answered any attempt
  std::uint64_t not_sent = 0;    // over the tool's own connection limit, or without a key
  std::uint64_t unfinished = 0;  // when the tool stopped waiting
  std::uint64_t sent_again = 0;
  std::map<organisation_name, organisation_counts> organisations;
  std::map<profile_name, std::vector<double>> first_token;  // milliseconds from arrival
  std::vector<double> token_gaps;                           // milliseconds
};

inline constexpr std::size_t max_samples = 2'000'000;

// Adds a sample unless there are `max_samples`.
void add_sample(std::vector<double>& samples, duration value);

// `share` from 0 to 1; 0 if there are no samples. Reorders the samples.
double percentile(std::vector<double>& samples, double share);

// Calls that have an end of any kind.
std::uint64_t ended_calls(const load_counts& counts);

void print_summary(std::ostream& out, load_counts& counts);
void print_report(std::ostream& out, load_counts& counts);

}  // namespace peridot::standins

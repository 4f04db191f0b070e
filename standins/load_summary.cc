#include "standins/load_summary.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ostream>

namespace peridot::standins {

namespace {

std::uint64_t sum_of(const std::map<std::string, std::uint64_t>& reasons) {
  std::uint64_t sum = 0;
  for (const std::pair<const std::string, std::uint64_t>& entry : reasons) {
    sum += entry.second;
  }
  return sum;
}

void print_line(std::ostream& out, const char* label, std::uint64_t value) {
  out << "  " << std::left << std::setw(24) << label << std::right << std::setw(9) << value << "\n";
}

void print_reasons(std::ostream& out, const std::map<std::string, std::uint64_t>& reasons) {
  for (const std::pair<const std::string, std::uint64_t>& entry : reasons) {
    out << "    " << std::left << std::setw(22) << entry.first << std::right << std::setw(9)
        << entry.second << "\n";
  }
}

void print_organisations(std::ostream& out, load_counts& counts) {
  out << "  organisation            calls answered    units units/weight   first token, ms p50     "
         "p95\n"
      << std::fixed << std::setprecision(0);
  for (std::pair<const organisation_name, organisation_counts>& entry : counts.organisations) {
    organisation_counts& row = entry.second;
    out << "    " << std::left << std::setw(18) << entry.first.value << std::right << std::setw(7)
        << row.calls << std::setw(9) << row.answered << std::setw(9) << row.units << std::setw(13)
        << static_cast<double>(row.units) / row.weight << std::setw(22)
        << percentile(row.first_token, 0.50) << std::setw(8) << percentile(row.first_token, 0.95)
        << "\n";
  }
}

void print_times(std::ostream& out, load_counts& counts) {
  out << "  time to first token, ms           p50       p95       p99\n" << std::setprecision(1);
  for (std::pair<const profile_name, std::vector<double>>& entry : counts.first_token) {
    out << "    " << std::left << std::setw(24) << entry.first.value << std::right << std::fixed
        << std::setw(10) << percentile(entry.second, 0.50) << std::setw(10)
        << percentile(entry.second, 0.95) << std::setw(10) << percentile(entry.second, 0.99)
        << "\n";
  }
  out << "  between tokens, ms            p95 " << percentile(counts.token_gaps, 0.95) << "\n";
}

void report_reasons(std::ostream& out, const char* name,
                    const std::map<std::string, std::uint64_t>& reasons) {
  out << name << "=" << sum_of(reasons) << "\n";
  for (const std::pair<const std::string, std::uint64_t>& entry : reasons) {
    out << name << "." << entry.first << "=" << entry.second << "\n";
  }
}

}  // namespace

void add_sample(std::vector<double>& samples, duration value) {
  if (samples.size() < max_samples) {
    samples.push_back(std::chrono::duration<double, std::milli>(value).count());
  }
}

double percentile(std::vector<double>& samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  const std::size_t last = samples.size() - 1;
  const std::size_t rank = static_cast<std::size_t>(std::lround(share * static_cast<double>(last)));
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank),
                   samples.end());
  return samples[rank];
}

std::uint64_t ended_calls(const load_counts& counts) {
  return counts.answered + sum_of(counts.not_run) + sum_of(counts.failed) + sum_of(counts.unknown) +
         counts.broken + counts.cut + counts.wrong + counts.unreached + counts.not_sent +
         counts.unfinished;
}

void print_summary(std::ostream& out, load_counts& counts) {
  out << "peridot_load: summary\n";
  print_line(out, "calls", counts.calls);
  print_line(out, "answered", counts.answered);
  print_line(out, "refused as not run", sum_of(counts.not_run));
  print_reasons(out, counts.not_run);
  print_line(out, "failed after run", sum_of(counts.failed));
  print_reasons(out, counts.failed);
  print_line(out, "unknown", sum_of(counts.unknown));
  print_reasons(out, counts.unknown);
  print_line(out, "broken answers", counts.broken);
  print_line(out, "cut answers", counts.cut);
  print_line(out, "wrong answers", counts.wrong);
  print_line(out, "no router reached", counts.unreached);
  print_line(out, "not sent", counts.not_sent);
  print_line(out, "unfinished", counts.unfinished);
  print_line(out, "requests sent", counts.attempts);
  print_line(out, "requests sent again", counts.sent_again);
  print_organisations(out, counts);
  print_times(out, counts);
}

void print_report(std::ostream& out, load_counts& counts) {
  out << "calls=" << counts.calls << "\nattempts=" << counts.attempts
      << "\nanswered=" << counts.answered << "\n";
  report_reasons(out, "not_run", counts.not_run);
  report_reasons(out, "failed", counts.failed);
  report_reasons(out, "unknown", counts.unknown);
  out << "broken=" << counts.broken << "\ncut=" << counts.cut << "\nwrong=" << counts.wrong
      << "\nunreached=" << counts.unreached << "\nnot_sent=" << counts.not_sent
      << "\nunfinished=" << counts.unfinished << "\nsent_again=" << counts.sent_again << "\n";
  for (std::pair<const organisation_name, organisation_counts>& entry : counts.organisations) {
    organisation_counts& row = entry.second;
    out << "units." << entry.first.value << "=" << row.units << "\nanswered." << entry.first.value
        << "=" << row.answered << "\nfirst_token_p95_ms." << entry.first.value << "="
        << percentile(row.first_token, 0.95) << "\n";
  }
  for (std::pair<const profile_name, std::vector<double>>& entry : counts.first_token) {
    out << "first_token_p50_ms." << entry.first.value << "=" << percentile(entry.second, 0.50)
        << "\nfirst_token_p95_ms." << entry.first.value << "=" << percentile(entry.second, 0.95)
        << "\nfirst_token_p99_ms." << entry.first.value << "=" << percentile(entry.second, 0.99)
        << "\n";
  }
  out << "token_gap_p95_ms=" << percentile(counts.token_gaps, 0.95) << "\n";
}

}  // namespace peridot::standins

#include "net/metrics.h"

#include <sstream>

#include "core/base/keep_first.h"

namespace peridot {
namespace {

void write_histogram(std::ostringstream& out, const std::string& name, const std::string& help,
                     const duration_histogram& histogram) {
  out << "# HELP " << name << " " << help << "\n# TYPE " << name << " histogram\n";
  const duration_counts& counts = histogram.counts;
  const int bins = static_cast<int>(counts.axis().size());
  double total = counts.at(-1);  // the underflow bin
  for (int bin = 0; bin < bins; ++bin) {
    total += counts.at(bin);
    out << name << "_bucket{le=\"" << counts.axis().bin(bin).upper() << "\"} " << total << "\n";
  }
  total += counts.at(bins);
  out << name << "_bucket{le=\"+Inf\"} " << total << "\n";
  out << name << "_sum " << histogram.sum_seconds << "\n";
  out << name << "_count " << total << "\n";
}

void write_counter_header(std::ostringstream& out, const std::string& name,
                          const std::string& help) {
  out << "# HELP " << name << " " << help << "\n# TYPE " << name << " counter\n";
}

using named_organisation = std::pair<const std::string, organisation_counters>;

void write_tokens(std::ostringstream& out, const std::string& name, const std::string& help,
                  const std::vector<const named_organisation*>& organisations,
                  double organisation_counters::*tokens) {
  write_counter_header(out, name, help);
  for (const named_organisation* entry : organisations) {
    out << name << "{organisation=\"" << entry->first << "\"} "
        << static_cast<std::uint64_t>(entry->second.*tokens) << "\n";
  }
}

void write_organisations(std::ostringstream& out, const metrics& values) {
  std::vector<const named_organisation*> busiest;
  busiest.reserve(values.organisations.size());
  for (const named_organisation& entry : values.organisations) {
    busiest.push_back(&entry);
  }
  keep_first(busiest, max_exposed_organisations,
             [](const named_organisation* left, const named_organisation* right) {
               return left->second.asked_tokens > right->second.asked_tokens;
             });
  write_tokens(out, "peridot_organisation_asked_tokens_total",
               "Weighted tokens of calls that arrived, of the busiest organisations.", busiest,
               &organisation_counters::asked_tokens);
  write_tokens(out, "peridot_organisation_served_tokens_total",
               "Weighted tokens of calls sent to an engine.", busiest,
               &organisation_counters::served_tokens);
  write_counter_header(out, "peridot_organisation_refused_total", "Calls refused, by reason.");
  for (const named_organisation* entry : busiest) {
    for (const std::pair<const std::string, std::uint64_t>& refused : entry->second.refused_calls) {
      out << "peridot_organisation_refused_total{organisation=\"" << entry->first << "\",reason=\""
          << refused.first << "\"} " << refused.second << "\n";
    }
  }
}

}  // namespace

void record_duration(duration_histogram& histogram, duration elapsed) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  histogram.counts(seconds);
  histogram.sum_seconds += seconds;
}

void record_outcome(metrics& values, const std::string& outcome, const std::string& reason) {
  ++values.ended_calls[{outcome, reason}];
}

void record_target_response(metrics& values, const std::string& framing, const std::string& end) {
  ++values.target_responses[{framing, end}];
}

std::string to_exposition(const metrics& values, const std::vector<scalar_metric>& scalars) {
  std::ostringstream out;
  write_counter_header(out, "peridot_answered_total", "Calls answered whole.");
  out << "peridot_answered_total " << values.answered_calls << "\n";
  write_counter_header(out, "peridot_calls_ended_total",
                       "Calls that ended, by outcome and reason.");
  for (const std::pair<const std::pair<std::string, std::string>, std::uint64_t>& entry :
       values.ended_calls) {
    out << "peridot_calls_ended_total{outcome=\"" << entry.first.first << "\",reason=\""
        << entry.first.second << "\"} " << entry.second << "\n";
  }
  write_counter_header(out, "peridot_target_responses_total",
                       "Responses of targets, by framing and by how they ended.");
  for (const std::pair<const std::pair<std::string, std::string>, std::uint64_t>& entry :
       values.target_responses) {
    out << "peridot_target_responses_total{framing=\"" << entry.first.first << "\",end=\""
        << entry.first.second << "\"} " << entry.second << "\n";
  }
  write_organisations(out, values);
  write_counter_header(out, "peridot_retried_total", "Runs that were tried again.");
  out << "peridot_retried_total " << values.retries << "\n";
  write_counter_header(out, "peridot_cut_answers_total",
                       "Answers that ended before they were whole.");
  out << "peridot_cut_answers_total " << values.aborted_responses << "\n";
  write_counter_header(out, "peridot_callers_gone_total", "Callers that left before their answer.");
  out << "peridot_callers_gone_total " << values.caller_disconnects << "\n";
  for (const scalar_metric& value : scalars) {
    out << "# HELP " << value.name << " " << value.help << "\n# TYPE " << value.name << " "
        << (value.is_counter ? "counter" : "gauge") << "\n"
        << value.name << " " << value.value << "\n";
  }
  write_histogram(out, "peridot_queue_wait_seconds", "From arrival to dispatch.",
                  values.queue_wait);
  write_histogram(out, "peridot_first_byte_seconds", "From arrival to the answer's first byte.",
                  values.time_to_first_byte);
  write_histogram(out, "peridot_between_chunks_seconds", "Between chunks of a streamed answer.",
                  values.between_chunks);
  write_histogram(out, "peridot_answer_seconds", "From arrival to the answer's end.",
                  values.response_time);
  return out.str();
}

}  // namespace peridot

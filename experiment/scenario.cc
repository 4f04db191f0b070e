#include "experiment/scenario.h"

namespace peridot::experiment {
namespace {

using ms = milliseconds;
using std::chrono::seconds;

constexpr double factor_of_a_heavy_day = 1.05;  // calls of a played heavy day over the sheet

// Long shared prompts over many subjects, short drafts, long outputs: by the sheet of
// ashyq-esik.
std::vector<call_kind_model> listings_kinds(double factor) {
  return {{"long-shared",
           45.8 * factor,
           ms{600},
           ms{5'000},
           4.4,
           1.3,
           {{2'520, 0.4, 4}, {3'780, 0.7, 162}},
           {2'890, 0.7, 0},
           52},
          {"short-shared",
           53 * factor,
           ms{1'200},
           ms{3'000},
           1.1,
           0.33,
           {{341, 0.4, 15}, {227, 0.7, 84}},
           {1'800, 0.7, 0},
           24},
          {"long-output",
           34.6 * factor,
           ms{1'500},
           ms{15'000},
           0.56,
           0.17,
           {{103, 0.4, 4}, {69, 0.7, 55}},
           {543, 0.7, 0},
           280}};
}

scenario listings() {
  scenario result;
  result.name = "listings";
  result.shows = "heavy day of ashyq-esik: hot organisations, a hot subject, a burst";
  result.tokens_per_s = 420'000;
  result.kinds = listings_kinds(factor_of_a_heavy_day);
  result.surges = {{surge::what::organisation, 0, 6, seconds{4}, seconds{8}},
                   {surge::what::organisation, 1, 6, seconds{14}, seconds{8}},
                   {surge::what::subject, 0, 0.25, seconds{18}, seconds{6}},
                   {surge::what::kind, 2, 2.5, seconds{24}, seconds{5}}};
  return result;
}

scenario notebooks() {
  scenario result;
  result.name = "notebooks";
  result.shows = "heavy day of cq-notebooks: slower engines, more memory, longer aims";
  result.engine.memory_tokens = 323'748;
  result.engine.read_tokens_per_ms = 38.4;
  result.engine.step_ms = 5.23;
  result.tokens_per_s = 330'000;
  result.kinds = listings_kinds(factor_of_a_heavy_day * 0.85);
  result.kinds[0].aim = ms{800};
  result.kinds[0].deadline = ms{6'000};
  result.kinds[1].aim = ms{1'500};
  result.kinds[1].deadline = ms{4'000};
  result.surges = {{surge::what::organisation, 0, 6, seconds{4}, seconds{10}},
                   {surge::what::subject, 0, 0.25, seconds{10}, seconds{6}},
                   {surge::what::kind, 0, 1.5, seconds{20}, seconds{6}}};
  return result;
}

scenario many_subjects() {
  scenario result;
  result.name = "many-subjects";
  result.shows = "subjects that do not fit into the fleet's memory, all asked for alike";
  result.tokens_per_s = 420'000;
  result.kinds = {{"question",
                   50,
                   ms{800},
                   ms{5'000},
                   1,
                   0.3,
                   {{1'000, 0.2, 1}, {6'000, 0.5, 900}},
                   {800, 0.5, 0},
                   60}};
  return result;
}

scenario one_hot_subject() {
  scenario result;
  result.name = "hot-subject";
  result.shows = "most calls share one long prompt: it must live on several engines";
  result.tokens_per_s = 420'000;
  result.kinds = {{"question",
                   130,
                   ms{800},
                   ms{5'000},
                   1,
                   0.3,
                   {{500, 0.2, 1}, {9'000, 0.3, 60}},
                   {1'500, 0.5, 0},
                   60}};
  result.surges = {{surge::what::subject, 0, 0.6, seconds{8}, seconds{20}}};
  return result;
}

scenario short_calls() {
  scenario result;
  result.name = "short-calls";
  result.shows = "prompts without shared parts, short answers: only load counts";
  result.tokens_per_s = 420'000;
  result.kinds = {{"edit", 260, ms{500}, ms{3'000}, 1, 0.3, {}, {1'400, 0.8, 0}, 16}};
  result.surges = {{surge::what::kind, 0, 1.8, seconds{10}, seconds{8}}};
  return result;
}

scenario calm() {
  scenario result = listings();
  result.name = "calm";
  result.shows = "the same callers at two thirds of the usual rate: nobody need be refused";
  result.kinds = listings_kinds(0.66);
  result.surges.clear();
  return result;
}

}  // namespace

std::vector<scenario> all_scenarios() {
  return {listings(), notebooks(), many_subjects(), one_hot_subject(), short_calls(), calm()};
}

}  // namespace peridot::experiment

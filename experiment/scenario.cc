#include "experiment/scenario.h"

namespace peridot::experiment {
namespace {

using ms = milliseconds;
using std::chrono::seconds;

constexpr double heavy_day_rate_factor = 1.05;  // multiplies the call rates of site_call_kinds()

// Three kinds of calls: long shared prefixes over many subjects, short shared prefixes, and long
// outputs. Rates and sizes are those of the site ashyq-esik; `rate_factor` multiplies the rates.
std::vector<call_kind_options> site_call_kinds(double rate_factor) {
  return {{"long-shared",
           45.8 * rate_factor,
           ms{600},
           ms{5'000},
           4.4,
           1.3,
           {{2'520, 0.4, 4}, {3'780, 0.7, 162}},
           {2'890, 0.7, 0},
           52},
          {"short-shared",
           53 * rate_factor,
           ms{1'200},
           ms{3'000},
           1.1,
           0.33,
           {{341, 0.4, 15}, {227, 0.7, 84}},
           {1'800, 0.7, 0},
           24},
          {"long-output",
           34.6 * rate_factor,
           ms{1'500},
           ms{15'000},
           0.56,
           0.17,
           {{103, 0.4, 4}, {69, 0.7, 55}},
           {543, 0.7, 0},
           280}};
}

load_scenario listings() {
  load_scenario result;
  result.name = "listings";
  result.description = "heavy day of ashyq-esik: hot organisations, a hot subject, a burst";
  result.capacity_tokens_per_s = 420'000;
  result.kinds = site_call_kinds(heavy_day_rate_factor);
  result.surges = {{load_surge::scope::organisation, 0, 6, seconds{4}, seconds{8}},
                   {load_surge::scope::organisation, 1, 6, seconds{14}, seconds{8}},
                   {load_surge::scope::subject, 0, 0.25, seconds{18}, seconds{6}},
                   {load_surge::scope::kind, 2, 2.5, seconds{24}, seconds{5}}};
  return result;
}

load_scenario notebooks() {
  load_scenario result;
  result.name = "notebooks";
  result.description = "heavy day of cq-notebooks: slower engines, more memory, longer aims";
  result.engine.kv_capacity_tokens = 323'748;
  result.engine.prefill_tokens_per_ms = 38.4;
  result.engine.base_step_ms = 5.23;
  result.capacity_tokens_per_s = 330'000;
  result.kinds = site_call_kinds(heavy_day_rate_factor * 0.85);
  result.kinds[0].latency_objective = ms{800};
  result.kinds[0].caller_timeout = ms{6'000};
  result.kinds[1].latency_objective = ms{1'500};
  result.kinds[1].caller_timeout = ms{4'000};
  result.surges = {{load_surge::scope::organisation, 0, 6, seconds{4}, seconds{10}},
                   {load_surge::scope::subject, 0, 0.25, seconds{10}, seconds{6}},
                   {load_surge::scope::kind, 0, 1.5, seconds{20}, seconds{6}}};
  return result;
}

load_scenario many_subjects() {
  load_scenario result;
  result.name = "many-subjects";
  result.description = "subjects that do not fit into the fleet's memory, all asked for alike";
  result.capacity_tokens_per_s = 420'000;
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

load_scenario hot_subject() {
  load_scenario result;
  result.name = "hot-subject";
  result.description = "most calls share one long prompt: it must live on several engines";
  result.capacity_tokens_per_s = 420'000;
  result.kinds = {{"question",
                   130,
                   ms{800},
                   ms{5'000},
                   1,
                   0.3,
                   {{500, 0.2, 1}, {9'000, 0.3, 60}},
                   {1'500, 0.5, 0},
                   60}};
  result.surges = {{load_surge::scope::subject, 0, 0.6, seconds{8}, seconds{20}}};
  return result;
}

load_scenario short_calls() {
  load_scenario result;
  result.name = "short-calls";
  result.description = "prompts without shared parts, short answers: only load counts";
  result.capacity_tokens_per_s = 420'000;
  result.kinds = {{"edit", 260, ms{500}, ms{3'000}, 1, 0.3, {}, {1'400, 0.8, 0}, 16}};
  result.surges = {{load_surge::scope::kind, 0, 1.8, seconds{10}, seconds{8}}};
  return result;
}

load_scenario reduced_load() {
  load_scenario result = listings();
  result.name = "calm";
  result.description = "the same callers at two thirds of the usual rate: nobody need be refused";
  result.kinds = site_call_kinds(0.66);
  result.surges.clear();
  return result;
}

// Multiplies the call rates of all kinds for a while.
void multiply_rates(load_scenario& scenario, double factor, seconds start_offset, seconds length) {
  for (std::size_t kind = 0; kind < scenario.kinds.size(); ++kind) {
    scenario.surges.push_back(
        {load_surge::scope::kind, static_cast<int>(kind), factor, start_offset, length});
  }
}

std::vector<organisation_options> large_fleet_organisations() {
  std::vector<organisation_options> result = {
      {0.12, 0, 1}, {0.13, 2, 2}, {0.13, 4, 1}, {0.08, 1, 1}};
  constexpr int small_organisations = 26;
  for (int index = 0; index < small_organisations; ++index) {
    result.push_back({0.54 / small_organisations, index % 2 == 0 ? 0 : 1, 1});
  }
  return result;
}

}  // namespace

load_scenario large_fleet_scenario() {
  load_scenario result;
  result.name = "large-fleet";
  result.description = "heavy day of cq-notebooks-grown: several organisations above their share";
  result.router_count = 84;
  result.engine_count = 60;
  result.engine.slots = 24;
  result.engine.kv_capacity_tokens = 313'156;
  result.engine.base_step_ms = 5.23;
  result.engine.step_ms_per_decoding_request = 0.004;
  result.engine.prefill_tokens_per_ms = 38.4;
  result.capacity_tokens_per_s = 1'150'000;
  result.organisations = large_fleet_organisations();
  result.organisation_count = static_cast<int>(result.organisations.size());
  result.kinds = site_call_kinds(3.4);
  result.kinds[0].latency_objective = ms{800};
  result.kinds[0].shared_segments[1].variants = 800;
  result.kinds[1].latency_objective = ms{1'500};
  result.surges = {{load_surge::scope::organisation, 0, 8, seconds{2}, seconds{7}},
                   {load_surge::scope::kind, 0, 1.6, seconds{2}, seconds{7}},
                   {load_surge::scope::kind, 1, 1.6, seconds{2}, seconds{7}},
                   {load_surge::scope::kind, 2, 1.6, seconds{2}, seconds{7}}};
  result.length = seconds{9};
  return result;
}

load_scenario flooded_router_scenario() {
  load_scenario result = large_fleet_scenario();
  result.name = "flooded-router";
  result.description = "one organisation floods the small router through which it enters";
  constexpr double large_router_cores = 0.5;
  constexpr double small_router_cores = 0.12;
  constexpr int routers_per_large_one = 14;
  for (int index = 0; index < result.router_count; ++index) {
    result.router_cores.push_back(index % routers_per_large_one == 0 ? large_router_cores
                                                                     : small_router_cores);
  }
  result.organisations[1] = {0.13, 1, 1};
  result.surges = {{load_surge::scope::organisation, 0, 8, seconds{2}, seconds{10}},
                   {load_surge::scope::organisation, 1, 21, seconds{2}, seconds{10}}};
  multiply_rates(result, 3.7, seconds{2}, seconds{10});
  result.length = seconds{12};
  return result;
}

load_scenario second_flood_scenario() {
  load_scenario result = large_fleet_scenario();
  result.name = "second-flood";
  result.description = "one organisation floods one router, then another one floods all of them";
  result.engine_count = 120;
  result.organisations[0].weight = 0.04;
  result.organisations[1] = {0.05, 1, 1};
  result.surges = {{load_surge::scope::organisation, 1, 20, seconds{1}, seconds{13}},
                   {load_surge::scope::organisation, 0, 55, seconds{7}, seconds{7}}};
  multiply_rates(result, 2, seconds{1}, seconds{6});
  multiply_rates(result, 4, seconds{7}, seconds{7});
  result.length = seconds{14};
  return result;
}

std::vector<load_scenario> all_scenarios() {
  return {listings(),    notebooks(),    many_subjects(),          hot_subject(),
          short_calls(), reduced_load(), flooded_router_scenario()};
}

}  // namespace peridot::experiment

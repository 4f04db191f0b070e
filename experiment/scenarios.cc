#include "experiment/scenarios.h"

#include <utility>

namespace peridot::experiment {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void add_backlogged(fleet_options& options, const std::string& organisation, std::uint32_t backlog,
                    double weight, double skew) {
  caller_group group;
  group.organisation.value = organisation;
  group.profile.value = "explain";
  group.backlog = backlog;
  group.weight = weight;
  group.skew = skew;
  options.callers.push_back(group);
}

void add_steady(fleet_options& options, const std::string& organisation, duration every) {
  caller_group group;
  group.organisation.value = organisation;
  group.profile.value = "explain";
  group.every = every;
  options.callers.push_back(group);
}

void add_reservations(fleet_options& options, duration every) {
  caller_group group;
  group.organisation.value = "tour-desks";
  group.profile.value = "reserve";
  group.every = every;
  group.keyed = true;
  group.lowest_cost = 5;
  group.highest_cost = 20;
  options.callers.push_back(group);
}

fleet_options deployment(duration one_way) {
  fleet_options options;
  options.routers = 9;
  options.domains = 3;
  options.engines = 9;
  options.services = 3;
  options.warm_limit = 8;
  options.one_way = one_way;
  options.start_warm = true;
  options.length = seconds{60};
  return options;
}

// Sixteen organisations: three large ones, the rest small and steady.
void add_members(fleet_options& options, const std::string& prefix) {
  add_backlogged(options, prefix + "-large-1", 120, 4, 0);
  add_backlogged(options, prefix + "-large-2", 60, 2, 0.9);
  add_backlogged(options, prefix + "-large-3", 40, 1, 0.9);
  for (int index = 4; index <= 15; ++index) {
    add_steady(options, prefix + "-small-" + std::to_string(index), milliseconds{1'500});
  }
  add_reservations(options, milliseconds{700});
}

scenario make(const std::string& name, const std::string& what, fleet_options options) {
  return {name, what, std::move(options)};
}

}  // namespace

std::vector<scenario> scenarios() {
  fleet_options esik = deployment(std::chrono::microseconds{500});
  add_members(esik, "esik");
  fleet_options quetzal = deployment(milliseconds{1});
  add_members(quetzal, "quetzal");

  std::vector<scenario> all;
  all.push_back(make("esik-steady", "Ashyq Esik, no trouble.", esik));
  fleet_options domain_out = esik;
  domain_out.length = seconds{90};
  domain_out.operator_steps = {{seconds{30}, "out domain-1"}, {seconds{55}, "back domain-1"}};
  all.push_back(
      make("esik-domain", "A failure domain is taken out at 30 s and back at 55 s.", domain_out));
  fleet_options cold = esik;
  cold.operator_steps = {{seconds{30}, "restart domain-2"}};
  all.push_back(make("esik-cold", "A third of the targets restarts cold at 30 s.", cold));
  all.push_back(make("quetzal-steady", "Cuaderno Quetzal, no trouble.", quetzal));
  fleet_options flood = quetzal;
  add_backlogged(flood, "quetzal-bank", 1'200, 1, 0);
  flood.callers.back().from = seconds{20};
  all.push_back(make("quetzal-flood", "One bank team floods all routers from 20 s on.", flood));
  fleet_options skew = quetzal;
  for (caller_group& group : skew.callers) {
    group.skew = 1;
  }
  all.push_back(make("quetzal-skew", "Every organisation enters through one router.", skew));
  fleet_options cut = quetzal;
  cut.operator_steps = {{seconds{25}, "cut domain-0"}, {seconds{40}, "heal all"}};
  all.push_back(make("quetzal-cut", "A failure domain is cut off from 25 s to 40 s.", cut));
  fleet_options outage = quetzal;
  outage.operator_steps = {{seconds{10}, "service_down 45"}};
  all.push_back(
      make("quetzal-outage", "The platform's service is down from 10 s to 55 s.", outage));
  return all;
}

std::vector<variant> variants() {
  return {
      {"ideal", "one scheduler that knows everything at once", share_policy::fleet_fair, true},
      {"fleet_fair", "the product", share_policy::fleet_fair, false},
      {"local_fair", "each owner fair by what it alone charged", share_policy::local_fair, false},
      {"first_come", "oldest demand first", share_policy::first_come, false},
  };
}

fleet_options apply(const scenario& base, const variant& how, std::uint64_t seed) {
  fleet_options options = base.options;
  options.seed = seed;
  options.policy = how.policy;
  if (how.ideal) {
    options.routers = 1;
    options.shards_per_pool = 1;
    options.one_way = duration{1'000};
    options.tick = milliseconds{5};
    std::erase_if(options.operator_steps, [](const std::pair<duration, std::string>& step) {
      return step.second.starts_with("cut");
    });
  }
  return options;
}

}  // namespace peridot::experiment

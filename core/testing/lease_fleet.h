// A small fleet of lease holders and voters under virtual time, for tests.
//
// Every process has a clock with an offset and a drift. The network loses,
// delays, reorders and doubles messages, and can be cut; processes pause, and
// restart empty. After every step of true time the fleet is searched for a shard
// that two processes hold. A mutation changes what the product code is given, to
// show that the search finds the fault that a mechanism prevents.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/lease.h"

namespace peridot::testing {

using true_time = std::chrono::microseconds;

enum class mutation {
  none,
  no_abstention,       // voters believe that they started long ago
  counted_from_reply,  // the echoed sending time becomes the arrival time
  drift_above_margin,  // clocks run a tenth fast or slow
};

struct process {
  router_identity self;
  double rate = 1;
  true_time offset{0};
  bool stopping = false;
  true_time paused_until{0};
  true_time next_tick{0};
  int side = 0;  // of a cut; only equal sides talk
  std::uint64_t config_version = 1;
  std::shared_ptr<const instance_list> list;
  membership_table members;
  voter_table votes;
  claim_table claims;
};

struct packet {
  router_identity from;
  outgoing_message content;
};

struct lease_fleet {
  std::mt19937_64 random;
  mutation change = mutation::none;
  true_time now{0};
  fleet_config fleet;
  std::vector<shard_key> shards;
  std::vector<router_address> seeds;
  std::vector<process> processes;
  std::multimap<true_time, packet> in_flight;
  double loss = 0;
  double slow = 0;  // share of messages that take up to `slowest`
  true_time slowest{4'000'000};
  double doubled = 0;
  bool numbers_from_clock = true;
  std::uint64_t next_incarnation = 1;
  std::map<shard_key, std::uint64_t> newest_fencing;
  std::size_t double_holds = 0;
  std::size_t stale_numbers = 0;
  std::map<shard_key, true_time> unheld;  // time without a holder
  std::size_t bytes_sent = 0;
};

lease_fleet make_fleet(std::size_t routers, std::size_t shards, std::uint64_t seed,
                       mutation change);

instant clock_of(const lease_fleet& fleet, const process& who);

// Replaces the process by an empty one at the same address.
void restart(lease_fleet& fleet, process& who);

// Gives the process a list of all routers but those left out.
void give_list(lease_fleet& fleet, process& who, std::uint64_t version,
               const std::vector<std::size_t>& left_out);

// Lists that change in up to half of the routers at once, while messages are lost
// and the fleet is cut; each process has a new list within `lag`.
void run_list_changes(lease_fleet& fleet, true_time length, true_time lag);

// Runs until `fleet.now` has grown by `length`.
void run(lease_fleet& fleet, true_time length);

// Random faults for `length`, then their end: all run, hear each other, and have
// the same list.
void run_faults(lease_fleet& fleet, true_time length);

// How many processes hold the shard now.
std::size_t holders(const lease_fleet& fleet, const shard_key& shard);
bool all_held_once(const lease_fleet& fleet);

}  // namespace peridot::testing

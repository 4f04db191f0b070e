// The entry table against a slow oracle: the same rules over plain lists that
// are never pruned, written without looking at the table's structures.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

#include "core/testing/entry_bench.h"

namespace peridot {
namespace {

using namespace entry_bench;
using std::chrono::milliseconds;

// The rules of docs/design/entry.md, each on its own, in no order.
run_verdict slow_judge(const run_end& end) {
  const bool proved = end.result == wire::finish_returned || end.result == wire::finish_refused;
  const bool lost = end.result == wire::finish_lost;
  const bool failed = end.result == wire::finish_failed;
  run_verdict verdict{decision::kind::give_up, outcome::unknown, refusal::none, false};
  verdict.nothing_ran = proved && !end.answer_begun;
  const bool poison = lost && end.crashes >= max_crashes;
  const bool may_repeat = (lost || failed) && end.repeatable && !end.answer_begun;
  const bool repeats = may_repeat && !poison && end.retries_left && end.budget_left;
  if (end.result == wire::finish_ok || repeats || verdict.nothing_ran) {
    verdict.how = outcome::done;
    verdict.what =
        end.result == wire::finish_ok ? decision::kind::answered : decision::kind::queued_again;
    return verdict;
  }
  verdict.how = failed ? outcome::failed_after_run : outcome::unknown;
  verdict.why = lost ? refusal::target_lost : failed ? refusal::target_failed : refusal::internal;
  verdict.why = end.result == wire::finish_cancelled ? refusal::caller_gone : verdict.why;
  verdict.why = may_repeat && end.retries_left ? refusal::retry_budget : verdict.why;
  verdict.why = may_repeat && poison ? refusal::suspect : verdict.why;
  return verdict;
}

TEST_CASE("each end of a run has one decision") {
  int wrong = 0;
  int cases = 0;
  for (int result = 0; result <= wire::finish_cancelled; ++result) {
    for (unsigned bits = 0; bits < 64; ++bits) {
      run_end end;
      end.result = static_cast<wire::finish_result>(result);
      end.repeatable = (bits & 1) != 0;
      end.answer_begun = (bits & 2) != 0;
      end.retries_left = (bits & 4) != 0;
      end.budget_left = (bits & 8) != 0;
      end.crashes = bits >> 4;
      wrong += judge_run(end) == slow_judge(end) ? 0 : 1;
      ++cases;
    }
  }
  CHECK(cases == 384);
  CHECK(wrong == 0);
}

struct crash_word {
  router_address router;
  organisation_name organisation;
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  instant expires{};
};

// A mechanism that is switched off, to show that the test sees it.
enum class fault { none, forget_grants, forget_crashes, endless_retries, repeat_all };

// The oracle keeps requests in the table's own row type, as plain values: queued
// ones in order of service, running ones with the grant's id as `run`.
struct random_run {
  bench b;
  std::mt19937 random;
  fault what = fault::none;
  std::vector<request_row> queued;
  std::vector<request_row> running;
  std::vector<wire::grant> grants;    // all that were sent
  std::set<std::uint64_t> delivered;  // ids of those that came in time
  std::set<std::uint64_t> may_have_run;
  std::vector<crash_word> words;
  std::map<organisation_name, double> tokens{{guides, 10}, {schools, 10}};
  std::vector<wire::finish_result> expected;  // of the current step
  int disagreements = 0;
  int dispatched = 0;
  int late_refusals = 0;
};

std::uint32_t below(random_run& r, std::uint32_t limit) {
  return static_cast<std::uint32_t>(r.random() % limit);
}

void agree(random_run& r, bool same) {
  r.disagreements += same ? 0 : 1;
}

crash_word* word_of(random_run& r, const router_address& router, const request_row& request) {
  auto found = std::find_if(r.words.begin(), r.words.end(), [&](const crash_word& word) {
    return word.router == router && word.organisation == request.organisation &&
           word.fingerprint == request.fingerprint;
  });
  return found == r.words.end() ? nullptr : &*found;
}

std::uint32_t crashes_in(const random_run& r, const request_row& request) {
  std::uint32_t sum = 0;
  for (const crash_word& word : r.words) {
    const bool same = word.organisation == request.organisation &&
                      word.fingerprint == request.fingerprint && word.expires > r.b.now;
    sum += same ? word.crashes : 0;
  }
  return sum;
}

void set_word(random_run& r, const router_address& router, const request_row& request,
              std::uint32_t crashes, duration life) {
  crash_word* word = word_of(r, router, request);
  if (word == nullptr) {
    r.words.push_back({router, request.organisation, request.fingerprint, 0, instant{}});
    word = &r.words.back();
  }
  word->crashes = crashes;
  word->expires = r.b.now + life;
}

void step_submit(random_run& r) {
  request_row request;
  request.organisation = below(r, 3) == 0 ? schools : guides;
  request.repeatable = below(r, 3) != 0;
  request.fingerprint = below(r, 4) == 0 ? 1 + below(r, 6) : 1'000 + below(r, 1'000'000);
  request.start_before = r.b.now + std::chrono::seconds{10};
  const std::uint32_t crashes = crashes_in(r, request);
  request.solo = crashes > 0;
  const std::size_t own = static_cast<std::size_t>(std::count_if(
      r.queued.begin(), r.queued.end(),
      [&](const request_row& other) { return other.organisation == request.organisation; }));
  const std::size_t room = r.queued.size() < 40 ? 40 - r.queued.size() : 0;
  const std::size_t limit =
      room == 0 ? 0 : std::min<std::size_t>(15, std::max<std::size_t>(room, 4));
  refusal why = own >= limit ? refusal::queue_full : refusal::none;
  why = crashes >= max_crashes ? refusal::suspect : why;
  const submit_result result = submit_one(
      r.b, request.organisation, request.repeatable ? "ask" : "reserve", request.fingerprint);
  if (why == refusal::none && own > 0 && result.why == refusal::deadline) {
    ++r.late_refusals;  // the expected wait is not modelled
    return;
  }
  agree(r, result.why == why && result.accepted == (why == refusal::none));
  request.id = result.id;
  if (result.accepted) {
    r.queued.push_back(request);
  }
}

// The request that the grant should start.
std::vector<request_row>::iterator choose(random_run& r, const wire::grant& grant) {
  for (std::size_t i = 0; i < r.queued.size();) {
    request_row& request = r.queued[i];
    const bool fits = request.organisation.value == grant.organisation() &&
                      request.solo == grant.solo() && request.start_before > r.b.now;
    const std::uint32_t crashes = crashes_in(r, request);
    if (fits && crashes >= max_crashes) {
      request.start_before = r.b.now;
      request.expires_as = refusal::suspect;
    } else if (fits && crashes > 0 && !request.solo) {
      request.solo = true;
      std::rotate(r.queued.begin() + static_cast<std::ptrdiff_t>(i),
                  r.queued.begin() + static_cast<std::ptrdiff_t>(i) + 1, r.queued.end());
      continue;
    } else if (fits) {
      return r.queued.begin() + static_cast<std::ptrdiff_t>(i);
    }
    ++i;
  }
  return r.queued.end();
}

void step_grant(random_run& r) {
  wire::grant grant = make_grant(r.b, below(r, 3) == 0 ? schools : guides, below(r, 4) == 0,
                                 below(r, 12) == 0 ? "engine-3" : "engine-1");
  grant.set_config_version(3 - (below(r, 12) == 0 ? 1 : 0));
  grant.set_demand_sent_at_us(grant.demand_sent_at_us() - std::uint64_t{below(r, 500)} * 1'000);
  if (!r.grants.empty() && below(r, 3) == 0) {
    grant = r.grants[r.grants.size() - 1 -
                     below(r, std::min<std::uint32_t>(
                                  20, static_cast<std::uint32_t>(r.grants.size())))];
  }
  r.grants.push_back(grant);
  const bool runs = std::any_of(r.running.begin(), r.running.end(),
                                [&](const request_row& o) { return o.run == grant.grant_id(); });
  const bool late = to_wire(r.b.now) >= grant.demand_sent_at_us() + 400'000;
  const bool known = r.delivered.contains(grant.grant_id());
  const bool valid = !late && grant.target() == "engine-1" && grant.config_version() == 3;
  auto chosen = r.queued.end();
  if (!late && !known) {
    r.delivered.insert(grant.grant_id());
    chosen = valid ? choose(r, grant) : r.queued.end();
  }
  const std::optional<dispatch> started = deliver(r.b, grant);
  agree(r, started.has_value() == (chosen != r.queued.end()));
  if (chosen == r.queued.end()) {
    // A copy may still be remembered, or be returned once more; never while it runs.
    const std::vector<wire::finish_result> told = finishes(r.b.out);
    r.expected.assign(runs || (known && told.empty()) ? 0 : 1, wire::finish_returned);
    return;
  }
  agree(r, started && started->request == chosen->id && !r.may_have_run.contains(chosen->id));
  r.tokens[chosen->organisation] += chosen->earned_retry ? 0 : retry_budget_share;
  r.tokens[chosen->organisation] = std::min(r.tokens[chosen->organisation], retry_budget_burst);
  chosen->earned_retry = true;
  chosen->run = grant.grant_id();
  ++r.dispatched;
  r.running.push_back(*chosen);
  r.queued.erase(chosen);
}

void step_finish(random_run& r) {
  if (r.running.empty()) {
    return;
  }
  const std::uint32_t place = below(r, static_cast<std::uint32_t>(r.running.size()));
  request_row request = r.running[place];
  r.running.erase(r.running.begin() + place);
  target_result result;
  result.result = static_cast<wire::finish_result>(below(r, 6));
  result.answer_begun = below(r, 5) == 0;
  if (result.result == wire::finish_lost) {
    const crash_word* own = word_of(r, self_address, request);
    const std::uint32_t earlier = own != nullptr && own->expires > r.b.now ? own->crashes : 0;
    set_word(r, self_address, request, std::min(earlier + 1, max_crashes),
             r.b.config.fleet.suspect_request_life);
  }
  if (result.result == wire::finish_ok && request.solo) {
    set_word(r, self_address, request, 0, duration{0});
  }
  run_end end{result.result,          request.repeatable,  result.answer_begun,
              crashes_in(r, request), request.retries < 2, r.tokens[request.organisation] >= 1};
  const run_verdict verdict = slow_judge(end);
  const decision decided = finish_run(r.b, request.id, result);
  r.expected = {result.result};
  agree(r, decided.what == verdict.what && decided.why == verdict.why);
  if (!verdict.nothing_ran && !request.repeatable) {
    r.may_have_run.insert(request.id);
  }
  if (verdict.what != decision::kind::queued_again) {
    const bool unknown =
        verdict.what == decision::kind::give_up && request.earlier_runs == outcome::unknown;
    agree(r, decided.how == (unknown ? outcome::unknown : verdict.how));
    return;
  }
  if (!verdict.nothing_ran) {
    const bool unknown =
        result.result == wire::finish_lost || request.earlier_runs == outcome::unknown;
    request.earlier_runs = unknown ? outcome::unknown : outcome::failed_after_run;
    ++request.retries;
    r.tokens[request.organisation] -= 1;
    request.start_before = r.b.now + std::chrono::seconds{10};
  }
  request.solo = request.solo || end.crashes > 0;
  r.queued.insert(r.queued.begin(), request);
  agree(r, finish_run(r.b, request.id, result).what == decision::kind::none);
}

void step_cancel(random_run& r) {
  std::vector<request_row>& from = below(r, 2) == 0 ? r.queued : r.running;
  if (from.empty()) {
    return;
  }
  const std::uint32_t place = below(r, static_cast<std::uint32_t>(from.size()));
  const bool runs = &from == &r.running;
  const std::uint64_t id = from[place].id;
  agree(r, cancel(r.b.table, id, 1, context_of(r.b), r.b.now, r.b.out).has_value() == runs);
  r.expected.assign(runs ? 1 : 0, wire::finish_cancelled);
  from.erase(from.begin() + place);
}

void step_tick(random_run& r) {
  for (const decision& decided : entry_tick(r.b.table, context_of(r.b), r.b.now, r.b.out)) {
    auto late = std::find_if(r.queued.begin(), r.queued.end(), [&](const request_row& o) {
      return o.id == decided.request && o.start_before <= r.b.now;
    });
    agree(r, late != r.queued.end());
    if (late != r.queued.end()) {
      agree(r, decided.how == late->earlier_runs && decided.why == late->expires_as);
      r.queued.erase(late);
    }
  }
  agree(r, std::none_of(r.queued.begin(), r.queued.end(),
                        [&](const request_row& o) { return o.start_before <= r.b.now; }));
  for (const wire::demand& told : demands_to(r.b.out, owner_address)) {
    std::size_t queued = 0;
    for (const wire::demand_line& line : told.lines()) {
      queued += line.queued();
    }
    agree(r, queued == r.queued.size());
  }
}

void step_hear(random_run& r) {
  request_row request;
  request.organisation = guides;
  request.fingerprint = 1 + below(r, 6);
  set_word(r, owner_address, request, 1, std::chrono::seconds{2});
  google::protobuf::RepeatedPtrField<wire::suspect> told;
  wire::suspect* suspect = told.Add();
  suspect->set_fingerprint(request.fingerprint);
  suspect->set_organisation(guides.value);
  suspect->set_crashes(1);
  suspect->set_expires_in_us(2'000'000);
  on_suspects(r.b.table, owner_address, told, r.b.now);
}

void switch_off(random_run& r) {
  if (r.what == fault::forget_grants) {
    r.b.table.grants = grant_memory{};
  } else if (r.what == fault::forget_crashes) {
    r.b.table.suspects = suspect_table{};
  }
  for (auto row = r.b.table.organisations.begin();
       r.what == fault::endless_retries && row != r.b.table.organisations.end(); ++row) {
    row->second.retry_tokens = retry_budget_burst;
  }
  for (auto row = r.b.table.requests.begin();
       r.what == fault::repeat_all && row != r.b.table.requests.end(); ++row) {
    row->second.repeatable = true;
  }
}

random_run run_random(std::uint32_t seed, fault what, int steps) {
  random_run r;
  r.random.seed(seed);
  r.what = what;
  r.b.table.max_queued = 40;
  r.b.config.organisations = {{guides, 1, 15}, {schools, 1, 15}};
  r.b.config.fleet.suspect_request_life = milliseconds{3'000};
  r.b.table.first_demand = start - std::chrono::seconds{1};
  for (int step = 0; step < steps && r.disagreements == 0; ++step) {
    r.b.now += below(r, 200) == 0 ? milliseconds{below(r, 30'000)} : milliseconds{below(r, 20)};
    r.b.out.clear();
    r.expected.clear();
    switch_off(r);
    const std::uint32_t kind = below(r, 100);
    if (kind < 35) {
      step_submit(r);
    } else if (kind < 70) {
      step_grant(r);
    } else if (kind < 88) {
      step_finish(r);
    } else if (kind < 91) {
      step_cancel(r);
    } else if (kind < 97) {
      step_tick(r);
    } else {
      step_hear(r);
    }
    agree(r, finishes(r.b.out) == r.expected);
    agree(r, r.b.table.queued == r.queued.size());
    agree(r, r.b.table.running.size() == r.running.size());
    check_entry_table(r.b.table);
  }
  for (const decision& refused : refuse_queued(r.b.table, refusal::stopping, r.b.now)) {
    auto found = std::find_if(r.queued.begin(), r.queued.end(), [&](const request_row& o) {
      return o.id == refused.request && o.earlier_runs == refused.how;
    });
    agree(r, found != r.queued.end());
  }
  return r;
}

TEST_CASE("the table agrees with the oracle over random steps") {
  int dispatched = 0;
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    const random_run r = run_random(seed, fault::none, 2'000);
    CHECK(r.disagreements == 0);
    CHECK(r.late_refusals < 200);
    dispatched += r.dispatched;
  }
  CHECK(dispatched > 10'000);

  SUBCASE("and does not, with a mechanism switched off") {
    for (fault what :
         {fault::forget_grants, fault::forget_crashes, fault::endless_retries, fault::repeat_all}) {
      CAPTURE(static_cast<int>(what));
      int seen = 0;
      for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        seen += run_random(seed, what, 2'000).disagreements > 0 ? 1 : 0;
      }
      CHECK(seen >= 8);
    }
  }
}

}  // namespace
}  // namespace peridot

// Which build began a stream, so that it goes on at that build wherever its caller takes it up.
//
// What targets of two builds write does not fit together. A caller that takes a stream up names the
// call that brought its first event. A router knows which build that was
//
// - if it ran the call, or goes on with the stream: remember_stream();
// - if another router told it. Each router tells two others, its witnesses, of its streams whose
//   pool runs several builds: with the first event, at most every min_tell_interval, and again when
//   the witnesses or the pool's builds change. They are in other failure domains where there are
//   some, and in large fleets they are delegates (core/fleet/delegates.h);
// - if the pool has run one build only for longer than the stream may run: only_build(). That holds
//   only while what the router knows of targets is current (core/fleet/target_view.h).
//
// Otherwise it asks those that may be witnesses (routers_to_ask()): whether they know the stream,
// and the pool's only build, which counts if no router has seen several. If none of them knows,
// the build is unknown: the stream cannot go on. It is never guessed.
//
// A router that sees a pool run a further build begins no resumable streams there until the other
// routers have heard of it: may_begin_streams(). A stream that broke off at once would otherwise be
// taken up where only the earlier build is known.
//
//   remember_stream(table, stream_key(call_id), build, now);     // with the first event
//   std::optional<build_id> build = find_build(table, stream_key(resumed_id));
//
// Bounds: a router keeps at most 2 * max_streams_per_generation streams, each for stream_retention
// at least unless there are more. Cost while all targets of a pool run one build: one table entry
// for each stream, no message. Otherwise 12 bytes for each stream and witness.
// Thread safety: none; for use from one event loop.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/types.h"
#include "core/fleet/config_and_targets.h"
#include "core/fleet/membership.h"

namespace peridot {

inline constexpr std::size_t witness_count = 2;
// Delegates of each domain that may be witnesses of routers whose view differs.
inline constexpr std::size_t asked_delegates_per_domain = 3;
inline constexpr milliseconds stream_retention{30'000};  // streams run for less
inline constexpr std::size_t max_streams_per_generation = 32'768;
// Streams that begin within it are told in one message; a router that is killed takes their
// builds with it.
inline constexpr milliseconds min_tell_interval{100};
// How long a build counts as run by a pool after its last target is gone.
inline constexpr milliseconds build_retention{60'000};

struct seen_build {
  instant first_seen{};
  instant last_seen{};
};

struct known_builds {
  instant known_since{};  // since when the pool has had targets
  std::map<build_id, seen_build> builds;
};

struct stream_table {
  // By stream_key(); two generations, of which the older one is dropped.
  std::unordered_map<std::uint64_t, build_id> current;
  std::unordered_map<std::uint64_t, build_id> previous;
  instant generation_began{};
  std::map<pool_name, known_builds> pools;
  std::vector<router_identity> witnesses;
};

// Identifies a stream by the id of the call that brought its first event.
std::uint64_t stream_key(const std::string& call_id);

void remember_stream(stream_table& table, std::uint64_t stream, build_id build, instant now);

// Empty if it is not known here.
std::optional<build_id> find_build(const stream_table& table, std::uint64_t stream);

// Notes the builds that targets run now, or may run: also those of entries that are held back. To
// be called a few times a second.
void update_pool_builds(stream_table& table, const target_table& targets, instant now);

// True if the pool runs several builds, or did within build_retention.
bool runs_several_builds(const stream_table& table, const pool_name& pool);

// The build of all streams of the pool that have begun within `longest_stream`, if it ran only one
// and this router has known it for so long; empty beyond build_retention. Precondition: what is
// known of targets is not outdated.
std::optional<build_id> only_build(const stream_table& table, const pool_name& pool,
                                   duration longest_stream, instant now);

// True if other routers know of the build, which this one has seen for `announce_time`, or that the
// pool ran when this router first saw it.
bool may_begin_streams(const stream_table& table, const pool_name& pool, build_id build,
                       duration announce_time, instant now);

// The routers that this one tells of its streams: live, with their incarnations, at most
// witness_count.
std::vector<router_identity> choose_witnesses(const membership_table& members, instant now);

// Those that may be witnesses of any router, without this one. A router that has just started asks
// its seeds, which it has not heard yet.
std::vector<router_address> routers_to_ask(const membership_table& members, instant now);

}  // namespace peridot

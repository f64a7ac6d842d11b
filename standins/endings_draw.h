// The random draws of a run of the endings soak test: the fleet, and the timeline of process ends, signals
// and faults. Seeds from kFirstWideSeed on draw more kinds of events; the draws of lower seeds must not
// change, so that recorded seeds can be replayed.
#pragma once

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "connection_flood.h"

namespace damsonspoke::standins {

inline constexpr std::uint64_t kFirstWideSeed = 1000;
inline constexpr double kEndingsLoadSeconds = 4;
inline constexpr double kEndingsKeyWindowSeconds = 20;
inline constexpr double kEndingsStopSeconds = 1;  // from the shutdown notice to SIGKILL, as in the settings

struct EndingsFleet {
  int backends = 0;  // 0: a two-level fleet of forwarders and planners
  int forwarders = 0;
  int planners = 0;
  bool by_ajp = false;
  bool stores_results = false;  // in a store; the route "close" is keyed then
  bool limits_connections = false;
  bool stores_statistics = false;
  bool has_flood = false;
  // Drawn by wide seeds only:
  bool is_wide = false;
  bool is_flood_by_ajp = false;
  int calls_in_a_row = 0;     // calls of a run to the dependency, one after another; half of the runs call
  double run_seconds = 0.01;  // core seconds of a run
};

enum class TimelineEventKind {
  kNotice,
  kKill,
  kReload,
  kBadReload,
  kCounters,
  kPause,
  kCutRuntime,
  // Drawn by wide seeds only:
  kCutAtRunEnds,        // cuts the runtime's link; runs end when the next link is synchronized
  kCutWithUnreadInput,  // cuts the runtime's link after `seconds` in which it is not read
  kMoveRuntime,         // moves the runtime to another port and sends SIGHUP
  kRestartRuntime,
  kRegistryDown,
  kCutLevels,   // cuts the links of a planner in both directions for `seconds`
  kResetLevels  // resets the links of a planner
};

struct TimelineEvent {
  double at = 0;  // s since the start of the load
  std::size_t member = 0;
  TimelineEventKind kind = TimelineEventKind::kNotice;
  double seconds = 0;
};

struct EndingsFlood {
  FloodShape shape = FloodShape::kSilent;
  double at = 0;  // s since the start of the load
};

[[nodiscard]] bool is_wide_seed(std::uint64_t seed);
[[nodiscard]] EndingsFleet draw_endings_fleet(pcg64& random, std::uint64_t seed);
[[nodiscard]] std::string text_of(const EndingsFleet& fleet);
// Members are numbered in this order: planners, forwarders, backends.
[[nodiscard]] std::vector<TimelineEvent> draw_endings_events(pcg64& random, const EndingsFleet& fleet);
[[nodiscard]] std::optional<EndingsFlood> draw_endings_flood(pcg64& random, const EndingsFleet& fleet);
// Uniformly random in [0, 1).
[[nodiscard]] double draw_chance(pcg64& random);

}  // namespace damsonspoke::standins

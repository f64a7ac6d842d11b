// What a seed of the soak of endings draws: the fleet, and the timeline of ends, signals and faults. Seeds
// below kFirstWideSeed draw what they have always drawn; from there on more kinds are drawn.
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
inline constexpr double kEndingsStopSeconds = 1;  // from the notice to SIGKILL, as the settings tell

struct EndingsFleet {
  int backends = 0;  // or two levels:
  int forwarders = 0;
  int planners = 0;
  bool by_ajp = false;
  bool stores_results = false;  // a store; "close" is keyed then
  bool limits_connections = false;
  bool stores_statistics = false;
  bool has_flood = false;
  // Of wide seeds only:
  bool is_wide = false;
  bool is_flood_by_ajp = false;
  int calls_in_a_row = 0;     // of half of the runs
  double run_seconds = 0.01;  // of work
};

enum class EndingsEventKind {
  kNotice,
  kKill,
  kReload,
  kBadReload,
  kCounters,
  kPause,
  kCutRuntime,
  // Of wide seeds only:
  kCutAtRunEnds,        // the runtime's link; runs end as the new link is synchronized
  kCutWithUnreadInput,  // the runtime's link, and what is written in the seconds before is lost
  kMoveRuntime,         // SIGHUP with another address
  kRestartRuntime,
  kRegistryDown,
  kCutLevels,   // the links of a planner, both directions, for some seconds
  kResetLevels  // the same, reset at once
};

struct EndingsEvent {
  double at = 0;  // s
  std::size_t member = 0;
  EndingsEventKind kind = EndingsEventKind::kNotice;
  double seconds = 0;
};

struct EndingsFlood {
  FloodShape shape = FloodShape::kSilent;
  double at = 0;  // s
};

[[nodiscard]] bool is_wide_seed(std::uint64_t seed);
[[nodiscard]] EndingsFleet draw_endings_fleet(pcg64& random, std::uint64_t seed);
[[nodiscard]] std::string text_of(const EndingsFleet& fleet);
// Members are numbered as they are built: planners, forwarders, backends.
[[nodiscard]] std::vector<EndingsEvent> draw_endings_events(pcg64& random, const EndingsFleet& fleet);
[[nodiscard]] std::optional<EndingsFlood> draw_endings_flood(pcg64& random, const EndingsFleet& fleet);
// Evenly from 0 to under 1.
[[nodiscard]] double draw_chance(pcg64& random);

}  // namespace damsonspoke::standins

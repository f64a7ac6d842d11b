#include "endings_draw.h"

#include <fmt/format.h>

#include <array>
#include <cmath>

namespace damsonspoke::standins {
namespace {

constexpr double kFirstEventSeconds = 0.3;
constexpr double kMaxPauseSeconds = 0.25;
constexpr double kMaxUnreadSeconds =
    0.05;  // before a break, in which commands may be lost according to the runtime protocol
constexpr double kMaxLevelCutSeconds = 0.4;
constexpr double kMaxRegistryDownSeconds = 1.5;
constexpr double kMinCutIntervalSeconds = 0.15;  // between cuts at run ends

bool one_in(pcg64& random, unsigned n) { return random() % n == 0; }

std::size_t count_members(const EndingsFleet& fleet) {
  return static_cast<std::size_t>(fleet.planners) + static_cast<std::size_t>(fleet.forwarders) +
         static_cast<std::size_t>(fleet.backends);
}

double draw_event_time(pcg64& random) {
  return kFirstEventSeconds + draw_chance(random) * (kEndingsLoadSeconds - kFirstEventSeconds);
}

EndingsFleet draw_narrow_fleet(pcg64& random) {
  EndingsFleet out;
  if (one_in(random, 2)) {
    out.forwarders = 2;
    out.planners = 2 + static_cast<int>(random() % 2);
  } else {
    out.backends = 1 + static_cast<int>(random() % 2);
  }
  out.by_ajp = out.backends == 1 && one_in(random, 2);
  // Each backend remembers only its own keys: with two, a retry at the other one would run again.
  out.stores_results = out.backends != 2 && one_in(random, 2);
  out.limits_connections = out.backends > 0 && one_in(random, 2);
  out.stores_statistics = one_in(random, 2);
  out.has_flood = out.backends > 0 && one_in(random, 3);
  return out;
}

EndingsFleet draw_wide_fleet(pcg64& random) {
  EndingsFleet out;
  out.is_wide = true;
  switch (random() % 4) {
    case 0:
      out.forwarders = 2;
      out.planners = 2;
      break;
    case 1: out.backends = 2; break;
    default: out.backends = 1;
  }
  out.by_ajp = out.backends == 1 && one_in(random, 2);
  out.stores_results = out.backends != 2 && !one_in(random, 4);
  out.limits_connections = out.backends > 0 && one_in(random, 2);
  out.stores_statistics = one_in(random, 2);
  out.has_flood = out.backends > 0 && one_in(random, 3);
  out.is_flood_by_ajp = out.has_flood && out.by_ajp;
  out.calls_in_a_row = one_in(random, 2) ? 1 + static_cast<int>(random() % 3) : 0;
  out.run_seconds = std::array{0.004, 0.01, 0.02}[random() % 3];
  return out;
}

TimelineEvent draw_narrow_event(pcg64& random, std::size_t member, double when) {
  using enum TimelineEventKind;
  static constexpr std::array kKinds = {kNotice,    kNotice,   kNotice, kKill,      kReload,
                                        kBadReload, kCounters, kPause,  kCutRuntime};
  TimelineEvent event{when, member, kKinds[random() % kKinds.size()], 0};
  if (event.kind == kPause) event.seconds = draw_chance(random) * kMaxPauseSeconds;
  return event;
}

void draw_narrow_events(pcg64& random, const EndingsFleet& fleet, std::vector<TimelineEvent>& events) {
  const int count = 6 + static_cast<int>(random() % 8);
  for (int i = 0; i < count; ++i) {
    const std::size_t member = random() % count_members(fleet);
    const double when = draw_event_time(random);
    events.push_back(draw_narrow_event(random, member, when));
    // A second event at the same time, or while the first takes effect.
    if (!one_in(random, 3)) continue;
    const double later = one_in(random, 2) ? 0 : draw_chance(random) * kEndingsStopSeconds;
    events.push_back(draw_narrow_event(random, member, when + later));
  }
}

// Draws a member with a runtime: planners come before forwarders, and backends are the only members.
std::size_t draw_member_with_runtime(pcg64& random, const EndingsFleet& fleet) {
  return random() % static_cast<unsigned>(fleet.planners > 0 ? fleet.planners : fleet.backends);
}

void draw_cuts_at_run_ends(pcg64& random, const EndingsFleet& fleet, std::vector<TimelineEvent>& events) {
  double when = kFirstEventSeconds;
  while (when < kEndingsLoadSeconds) {
    events.push_back({when, draw_member_with_runtime(random, fleet), TimelineEventKind::kCutAtRunEnds, 0});
    when += kMinCutIntervalSeconds * (1 + draw_chance(random));
  }
}

void draw_wide_events(pcg64& random, const EndingsFleet& fleet, std::vector<TimelineEvent>& events) {
  using enum TimelineEventKind;
  if (!one_in(random, 3)) draw_cuts_at_run_ends(random, fleet, events);
  const int unread_cuts = static_cast<int>(random() % 4);
  for (int i = 0; i < unread_cuts; ++i)
    events.push_back({draw_event_time(random), draw_member_with_runtime(random, fleet), kCutWithUnreadInput,
                      draw_chance(random) * kMaxUnreadSeconds});
  if (one_in(random, 3))
    events.push_back({draw_event_time(random), draw_member_with_runtime(random, fleet), kMoveRuntime, 0});
  if (one_in(random, 3))
    events.push_back({draw_event_time(random), draw_member_with_runtime(random, fleet), kRestartRuntime, 0});
  if (one_in(random, 2)) {
    const std::size_t member = random() % count_members(fleet);
    events.push_back(
        {draw_event_time(random), member, kRegistryDown, draw_chance(random) * kMaxRegistryDownSeconds});
  }
  if (fleet.planners == 0) return;
  for (int i = 0; i < 3; ++i) {
    const TimelineEventKind kind = one_in(random, 2) ? kCutLevels : kResetLevels;
    events.push_back({draw_event_time(random), draw_member_with_runtime(random, fleet), kind,
                      draw_chance(random) * kMaxLevelCutSeconds});
  }
}

}  // namespace

double draw_chance(pcg64& random) { return std::ldexp(static_cast<double>(random() >> 11), -53); }

bool is_wide_seed(std::uint64_t seed) { return seed >= kFirstWideSeed; }

EndingsFleet draw_endings_fleet(pcg64& random, std::uint64_t seed) {
  return is_wide_seed(seed) ? draw_wide_fleet(random) : draw_narrow_fleet(random);
}

std::string text_of(const EndingsFleet& fleet) {
  std::string out = fleet.backends > 0
                        ? fmt::format("{} backends", fleet.backends)
                        : fmt::format("{} forwarders, {} planners", fleet.forwarders, fleet.planners);
  if (fleet.by_ajp) out += ", AJP as well";
  if (fleet.stores_results) out += ", results stored";
  if (fleet.stores_statistics) out += ", statistics stored";
  if (fleet.limits_connections) out += ", connections limited";
  if (fleet.has_flood)
    out += fleet.is_flood_by_ajp ? ", a flood of AJP connections" : ", a flood of connections";
  if (fleet.calls_in_a_row > 0) out += fmt::format(", {} calls per run", fleet.calls_in_a_row);
  if (fleet.is_wide) out += fmt::format(", runs of {:.0f} ms", fleet.run_seconds * 1000);
  return out;
}

std::vector<TimelineEvent> draw_endings_events(pcg64& random, const EndingsFleet& fleet) {
  std::vector<TimelineEvent> events;
  draw_narrow_events(random, fleet, events);
  if (fleet.is_wide) draw_wide_events(random, fleet, events);
  return events;
}

std::optional<EndingsFlood> draw_endings_flood(pcg64& random, const EndingsFleet& fleet) {
  if (!fleet.has_flood) return std::nullopt;
  static constexpr std::array kShapes = {FloodShape::kSilent, FloodShape::kReset, FloodShape::kDrip,
                                         FloodShape::kJunk};
  EndingsFlood flood;
  flood.shape = kShapes[random() % kShapes.size()];
  flood.at = 0.5 + draw_chance(random);
  return flood;
}

}  // namespace damsonspoke::standins

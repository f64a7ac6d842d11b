// The record of learned statistics that a server stores for its next start: the statistics, the settings
// under which they were learned, and the write time. Encoded as self-describing CBOR (RFC 8949), so that
// another version can read the members that it knows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/learned_statistics.h"
#include "settings/settings.h"

namespace damsonspoke::statistics {

// To be raised with each change after which an older program would misread the record. Added members need no
// new version.
inline constexpr std::uint32_t kRecordFormatVersion = 1;
inline constexpr std::size_t kMaxRecordBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxRoutes = 256;

// The learned statistics of a route, and its settings at that time. Times are in seconds.
struct RouteRecord {
  std::string name;
  double latency_objective = 0;
  double timeout = 0;
  bool calls_dependency = false;
  LearnedDurations run;
  LearnedDurations call;
};

struct StatisticsRecord {
  double written_at = 0;      // Unix seconds
  double uptime_seconds = 0;  // of the server that wrote the record
  std::string server_name;
  int cores = 0;
  int dependency = 0;              // DependencyKind as a number
  double caller_idle_timeout = 0;  // seconds
  bool under_pressure = false;     // learned under pressure, so not typical: must not become a prior
  std::vector<RouteRecord> routes;
  LearnedDurations calls;
  double returning_share = -1;  // 0 to 1; negative: unknown
};

// `written_at`: Unix seconds. `uptime_seconds`: uptime of this server.
StatisticsRecord make_record(const LearnedStatistics& learned, const StartSettings& site,
                             const std::string& server_name, double written_at, double uptime_seconds);

std::string encode(const StatisticsRecord& record);
// Returns nullopt if the bytes are not a statistics record. A member that is missing or has another type gets
// a value that derive_prior() rejects.
std::optional<StatisticsRecord> decode(std::string_view bytes);

}  // namespace damsonspoke::statistics

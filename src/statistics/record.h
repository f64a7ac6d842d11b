// What is written for a successor: what was learned, under which settings, when. As CBOR that describes
// itself, so that a later version reads what it understands of an earlier one's.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/learned_statistics.h"
#include "settings/settings.h"

namespace damsonspoke::statistics {

// One more where an older program would misread it. Members that are added need no new form.
constexpr std::uint32_t kForm = 1;
constexpr std::size_t kMostBytes = 64 * 1024;
constexpr std::size_t kMostTypes = 256;

struct RouteRecord {
  std::string name;
  double target = 0, timeout = 0;  // s
  bool calls = false;
  LearnedDurations run, away;
};

struct StatisticsRecord {
  double written = 0;  // Unix s
  double lived = 0;    // s, of the life that wrote it
  std::string site;    // the backend's name
  int cores = 0;
  int dependency = 0;              // as the settings name it
  double caller_idle_timeout = 0;  // s
  bool troubled = false;
  std::vector<RouteRecord> types;
  LearnedDurations calls;
  double returns = -1;
};

StatisticsRecord record_of(const LearnedStatistics& learned, const StartSettings& site,
                           const std::string& name, double written, double lived);
std::string encode(const StatisticsRecord& record);
// Nothing where it is no such record; what values mean is the policy's business.
std::optional<StatisticsRecord> decode(std::string_view bytes);

}  // namespace damsonspoke::statistics

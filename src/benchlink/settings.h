// Reads the JSON text that comes with a start into plain settings. Unknown keys are ignored.
#pragma once

#include <string_view>
#include <vector>

#include "decide.h"

namespace damsonspoke::benchlink {

enum class Gauge { kOther, kCpuBusy, kRunnable, kMemoryUsed, kConnections };

struct StartSettings {
  Settings settings;
  std::vector<Gauge> gauges;  // in the order in which a wake conveys them
};

StartSettings read_settings(std::string_view text);

}  // namespace damsonspoke::benchlink

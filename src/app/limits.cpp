#include "app/limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace damsonspoke {
namespace {

constexpr double kBytesPerMb = 1024 * 1024;

}  // namespace

int max_descriptors(const Limits& limits) {
  rlimit system_limit{};
  if (::getrlimit(RLIMIT_NOFILE, &system_limit) == 0 &&
      system_limit.rlim_cur < static_cast<rlim_t>(limits.sockets))
    return static_cast<int>(system_limit.rlim_cur);
  return limits.sockets;
}

std::size_t memory_share_bytes(const Limits& limits, double share) {
  return static_cast<std::size_t>(limits.memory_mb * share * kBytesPerMb);
}

int max_inbound_connections(const Limits& limits, int other_descriptors, std::size_t input_bytes) {
  const int available = max_descriptors(limits) - kReservedDescriptors - other_descriptors;
  const int max_by_memory = static_cast<int>(memory_share_bytes(limits, kInputMemoryShare) / input_bytes);
  return std::max(1, std::min(available, max_by_memory));
}

}  // namespace damsonspoke

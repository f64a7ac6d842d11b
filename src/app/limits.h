// How a process divides what it is allowed among its peers. Every resource that a peer can take has its
// bound, and the bounds add up to less than the limits.
#pragma once

#include <cstddef>

#include "settings/config.h"

namespace damsonspoke {

constexpr int kReservedDescriptors = 32;    // descriptors: listener, peers, reactor, log, and some to spare
constexpr double kOutputMemoryShare = 0.2;  // of the memory limit: answers that callers do not take
constexpr double kInputMemoryShare = 0.25;  // requests of callers that are not whole yet

// Descriptors that the process may have: the limit that it is told, or the system's where that is lower.
int max_descriptors(const Limits& limits);
// A share of the memory limit, bytes.
std::size_t memory_share_bytes(const Limits& limits, double share);
// So many connections of `input_bytes` each fit into the share for input, with `taken` descriptors for
// others.
int max_inbound_connections(const Limits& limits, int other_descriptors, std::size_t input_bytes);

}  // namespace damsonspoke

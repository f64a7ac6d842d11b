// Divides the resource limits of a process among its peers. Every resource that a peer can use is bounded,
// and the bounds add up to less than the limits.
#pragma once

#include <cstddef>

#include "settings/config.h"

namespace damsonspoke {

constexpr int kReservedDescriptors =
    32;  // for listeners, peers, the reactor and the log, with a few to spare

// Shares of the memory limit.
constexpr double kOutputMemoryShare = 0.2;  // answers that callers have not read yet
constexpr double kInputMemoryShare = 0.25;  // incomplete requests of callers

// Descriptors that the process may use: the configured limit, or that of the system if it is lower.
int max_descriptors(const Limits& limits);
// A share of the memory limit, bytes.
std::size_t memory_share_bytes(const Limits& limits, double share);
// How many connections with an input buffer of `input_bytes` each fit into the memory share for input and
// into the descriptors, of which `other_descriptors` are for other purposes; at least 1.
int max_inbound_connections(const Limits& limits, int other_descriptors, std::size_t input_bytes);

}  // namespace damsonspoke

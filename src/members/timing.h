// Times and limits of the membership protocol that depend on the size of the fleet. All times are seconds.
#pragma once

#include <cstddef>

#include "members/options.h"

namespace damsonspoke::members {

// Time in which a suspected member can refute. It grows with the size of the fleet and shrinks with each
// independent accuser (Lifeguard, section 3.B).
[[nodiscard]] double suspicion_timeout(const MembershipOptions& options, std::size_t fleet_size,
                                       std::size_t accusers);

// Time between two push-pulls of a member. It keeps their bytes per second constant as the fleet grows.
[[nodiscard]] double push_pull_interval(const MembershipOptions& options, std::size_t fleet_size);

// Time over which the push-pulls after a digest mismatch are spread. It keeps their bytes per second constant
// as the fleet grows.
[[nodiscard]] double digest_sync_window(std::size_t fleet_size);

// Number of times one update is gossiped (memberlist's retransmit limit).
[[nodiscard]] int retransmit_limit(std::size_t fleet_size);

}  // namespace damsonspoke::members

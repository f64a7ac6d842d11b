#include "members/options.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::members {
namespace {

constexpr double kGrowthPerTenfoldSize =
    0.15;  // of the least time, for each ten times the size: news has more hops to go
constexpr double kUnconfirmedFactor = 3;            // x the least time, where nobody else has found it silent
constexpr double kConfirmations = 3;                // witnesses beside the first that make the least time
constexpr double kPushPullSecondsPerMember = 0.3;   // s a member: a full exchange holds all of them
constexpr double kMismatchSecondsPerMember = 0.06;  // s a member: a full exchange for a difference, likewise
constexpr double kRetransmitFactor = 3;  // x log2 of the size; then all have heard it but by great misfortune

}  // namespace

double suspicion_timeout(const MembershipOptions& options, std::size_t members, std::size_t accusers) {
  const double size = std::max(10.0, static_cast<double>(members));
  const double shortest = options.min_suspicion_timeout * (1 + kGrowthPerTenfoldSize * std::log10(size / 10));
  const double longest = kUnconfirmedFactor * shortest;
  const double confirmations = accusers > 0 ? static_cast<double>(accusers - 1) : 0;
  return std::max(
      shortest, longest - (longest - shortest) * std::log(confirmations + 1) / std::log(kConfirmations + 1));
}

double push_pull_interval(const MembershipOptions& options, std::size_t members) {
  return std::max(options.push_pull_interval, kPushPullSecondsPerMember * static_cast<double>(members));
}

double digest_mismatch_window(std::size_t members) {
  return kMismatchSecondsPerMember * static_cast<double>(members);
}

int retransmit_limit(std::size_t members) {
  return std::max(
      3, static_cast<int>(std::ceil(kRetransmitFactor * std::log2(static_cast<double>(members) + 1) / 2)));
}

}  // namespace damsonspoke::members

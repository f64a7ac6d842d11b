#include "members/options.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::members {
namespace {

constexpr double kGrows = 0.15;  // of the least time, for each ten times the size: news has more hops to go
constexpr double kUnconfirmed = 3;     // x the least time, where nobody else has found it silent
constexpr double kConfirmed = 3;       // witnesses beside the first that make the least time
constexpr double kExchangeEach = 0.3;  // s a member: a full exchange holds all of them
constexpr double kCompareEach = 0.06;  // s a member: a full exchange for a difference, likewise
constexpr double kPasses = 3;          // x log2 of the size; then all have heard it but by great misfortune

}  // namespace

double suspicion_time(const MembershipOptions& terms, std::size_t members, std::size_t witnesses) {
  const double size = std::max(10.0, static_cast<double>(members));
  const double least = terms.suspicion * (1 + kGrows * std::log10(size / 10));
  const double most = kUnconfirmed * least;
  const double beside = witnesses > 0 ? static_cast<double>(witnesses - 1) : 0;
  return std::max(least, most - (most - least) * std::log(beside + 1) / std::log(kConfirmed + 1));
}

double exchange_time(const MembershipOptions& terms, std::size_t members) {
  return std::max(terms.exchange, kExchangeEach * static_cast<double>(members));
}

double comparison_time(std::size_t members) { return kCompareEach * static_cast<double>(members); }

int passes(std::size_t members) {
  return std::max(3, static_cast<int>(std::ceil(kPasses * std::log2(static_cast<double>(members) + 1) / 2)));
}

}  // namespace damsonspoke::members

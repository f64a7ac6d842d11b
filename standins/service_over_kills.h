// What callers may expect of a program that is killed while they use it: what was in flight at the kill is
// lost and asked again; everything else is as good as without a kill.
#pragma once

#include <string>
#include <vector>

#include "journal.h"

namespace damsonspoke::standins {

struct ServiceOverKills {
  // Tries that were in flight when their server was killed: sent before its end was noticed, lost by it.
  int attempts_killed = 0;
  int attempts = 0;            // the others
  int attempts_succeeded = 0;  // of those
  // Tries that were lost otherwise.
  std::vector<std::string> lost;
  // Wanted things of which no try succeeded, and whose last answer is no rejection that says when to retry.
  std::vector<std::string> unserved;
};

[[nodiscard]] ServiceOverKills judge_service_over_kills(const Journal& journal);

}  // namespace damsonspoke::standins

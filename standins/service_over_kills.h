// The service that callers get from a program that is killed under load. Attempts in flight at a kill are
// lost and retried; all other attempts should be served as well as without kills.
#pragma once

#include <string>
#include <vector>

#include "journal.h"

namespace damsonspoke::standins {

struct ServiceOverKills {
  // Attempts lost by a kill: sent before the end of their server was noticed, and lost after SIGKILL.
  int attempts_killed = 0;
  int attempts = 0;            // all others
  int attempts_succeeded = 0;  // of the others
  // Attempts that were lost for other reasons.
  std::vector<std::string> lost;
  // Tasks without a successful attempt whose last answer is not a rejection with a retry time.
  std::vector<std::string> unserved;
};

[[nodiscard]] ServiceOverKills judge_service_over_kills(const Journal& journal);

}  // namespace damsonspoke::standins

#include "service_over_kills.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace damsonspoke::standins {
namespace {

struct Wanted {
  bool served = false;
  double last_answer_at = -1;
  bool says_when_to_retry = false;  // the last answer
};

bool lost_by_kill(const Journal& journal, const Attempt& t) {
  const Life& life = journal.lives.at(static_cast<std::size_t>(t.life));
  return t.lost && life.killed && t.sent <= life.ended_at && t.lost_at >= life.killed_at;
}

void record(Wanted& wanted, const Answer& answer) {
  wanted.served |= answer.kind == AnswerKind::kSucceeded;
  if (answer.at < wanted.last_answer_at) return;
  wanted.last_answer_at = answer.at;
  wanted.says_when_to_retry = answer.kind == AnswerKind::kRejected && answer.retry_after > 0;
}

}  // namespace

ServiceOverKills judge_service_over_kills(const Journal& journal) {
  ServiceOverKills out;
  std::map<std::string, Wanted> things;
  for (const auto& [request, t] : journal.attempts) {
    if (t.refused) continue;
    Wanted& wanted = things[t.type + ' ' + t.key];
    for (const Answer& answer : t.answers) record(wanted, answer);
    if (lost_by_kill(journal, t)) {
      ++out.tries_killed;
      continue;
    }
    ++out.tries;
    out.tries_succeeded += std::any_of(t.answers.begin(), t.answers.end(), [](const Answer& answer) {
      return answer.kind == AnswerKind::kSucceeded;
    });
    if (t.lost)
      out.lost.push_back(fmt::format("{} {:016x} in life {}, {:.3f} s after its start", t.key, request,
                                     t.life,
                                     t.lost_at - journal.lives.at(static_cast<std::size_t>(t.life)).began));
  }
  for (const auto& [name, wanted] : things) {
    if (!wanted.served && !wanted.says_when_to_retry) out.unserved.push_back(name);
  }
  return out;
}

}  // namespace damsonspoke::standins

#include "service_over_kills.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace damsonspoke::standins {
namespace {

struct TaskOutcome {
  bool is_served = false;
  double last_answer_at = -1;
  bool has_retry_time = false;  // in the last answer
};

bool was_lost_by_kill(const Journal& journal, const Attempt& t) {
  const Incarnation& incarnation = journal.incarnations.at(static_cast<std::size_t>(t.incarnation));
  return t.is_lost && incarnation.was_killed && t.sent <= incarnation.ended_at &&
         t.lost_at >= incarnation.killed_at;
}

void record(TaskOutcome& task, const Answer& answer) {
  task.is_served |= answer.kind == AnswerKind::kSucceeded;
  if (answer.at < task.last_answer_at) return;
  task.last_answer_at = answer.at;
  task.has_retry_time = answer.kind == AnswerKind::kRejected && answer.retry_after > 0;
}

}  // namespace

ServiceOverKills judge_service_over_kills(const Journal& journal) {
  ServiceOverKills service;
  std::map<std::string, TaskOutcome> tasks;
  for (const auto& [request, t] : journal.attempts) {
    TaskOutcome& task = tasks[t.type + ' ' + t.key];
    for (const Answer& answer : t.answers) record(task, answer);
    if (was_lost_by_kill(journal, t)) {
      ++service.attempts_killed;
      continue;
    }
    ++service.attempts;
    service.attempts_succeeded += std::any_of(t.answers.begin(), t.answers.end(), [](const Answer& answer) {
      return answer.kind == AnswerKind::kSucceeded;
    });
    if (t.is_lost)
      service.lost.push_back(
          fmt::format("{} {:016x} in life {}, {:.3f} s after its start", t.key, request, t.incarnation,
                      t.lost_at - journal.incarnations.at(static_cast<std::size_t>(t.incarnation)).began));
  }
  for (const auto& [name, task] : tasks) {
    if (!task.is_served && !task.has_retry_time) service.unserved.push_back(name);
  }
  return service;
}

}  // namespace damsonspoke::standins

#include <fmt/format.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <set>

#include "journal.h"

namespace damsonspoke::standins {
namespace {

constexpr std::size_t kMostSentences = 5;  // about breaks of one kind

// Counts the breaks of one kind and puts the first of them into the verdict.
class BreakReport {
 public:
  BreakReport(Verdict& verdict, int& count) : verdict_(verdict), count_(count) {}
  void add(std::string text) {
    if (static_cast<std::size_t>(count_++) < kMostSentences) verdict_.broken.push_back(std::move(text));
  }

 private:
  Verdict& verdict_;
  int& count_;
};

// Rule 1: one final answer each, in time, unless its caller or the program itself was cut off.
void check_one_answer(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  BreakReport none(verdict, verdict.unanswered), late(verdict, verdict.late),
      twice(verdict, verdict.answered_twice);
  for (const auto& [request, attempt] : journal.attempts) {
    if (attempt.refused) continue;
    const Life& life = journal.lives.at(static_cast<std::size_t>(attempt.life));
    const bool is_reachable = life.is_reachable(attempt.sent, attempt.due + limits.slack);
    const bool was_cut = attempt.lost && (life.killed || life.leave_at >= 0);
    if (attempt.answers.empty() && !was_cut && is_reachable)
      none.add(fmt::format("rule 1: {} {:016x} has no answer", attempt.type, request));
    if (attempt.answers.size() > 1)
      twice.add(
          fmt::format("rule 1: {} {:016x} has {} answers", attempt.type, request, attempt.answers.size()));
    if (!attempt.answers.empty() && attempt.answers.front().at > attempt.due + limits.slack && is_reachable) {
      late.add(fmt::format("rule 1: {} {:016x} answered {:.0f} ms after its due time", attempt.type, request,
                           (attempt.answers.front().at - attempt.due) * 1000));
    }
  }
}

// Rule 1: a reply reaches the run as it was, at the call that it belongs to.
void check_replies(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  BreakReport changed(verdict, verdict.changed_replies);
  for (const CallSeen& call : journal.calls) {
    if (!call.replied || call.reply == kReplyTo + call_name(call)) continue;
    int number = 0;
    std::uint64_t request = 0;
    const std::string shape = std::string(kReplyTo) + "call %d of %" SCNx64;
    if (std::sscanf(call.reply.c_str(), shape.c_str(), &number, &request) == 2) {
      if (request == call.request)
        changed.add(fmt::format("rule 1: {:016x}: the reply to call {} answered call {}", request, number,
                                call.number));
      else
        changed.add(fmt::format("rule 1: the reply to call {} of {:016x} answered call {} of {:016x}", number,
                                request, call.number, call.request));
    } else if (limits.replies_name_calls) {
      changed.add(
          fmt::format("rule 1: {:016x}: the reply to call {} was changed", call.request, call.number));
    }
  }
}

// Rule 2: a key runs once, and what anybody is told of it is what that run came to.
void check_one_effect(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  BreakReport runs(verdict, verdict.double_runs), wrong(verdict, verdict.wrong_results);
  std::map<std::string, std::vector<const RunSeen*>> by_key;
  for (const RunSeen& run : journal.runs) by_key[run.type + " " + run.key].push_back(&run);
  for (const auto& [name, of] : by_key) {
    const bool keyed =
        std::find(limits.keyed.begin(), limits.keyed.end(), of.front()->type) != limits.keyed.end();
    if (keyed && of.size() > 1) {
      runs.add(fmt::format("rule 2: key {} ran {} times, in lives {} and {}", name, of.size(), of[0]->life,
                           of[1]->life));
    }
  }
  // A request belongs to one process: what runs in two lives was given out twice.
  std::map<std::uint64_t, int> ran;
  for (const RunSeen& run : journal.runs) {
    const auto [at, fresh] = ran.emplace(run.request, run.life);
    if (fresh || at->second == run.life) continue;
    runs.add(fmt::format("rule 2: {} {:016x} ran in lives {} and {}", run.type, run.request, at->second,
                         run.life));
  }
  for (const auto& [request, attempt] : journal.attempts) {
    for (const Answer& answer : attempt.answers) {
      if (answer.kind == AnswerKind::kRejected && ran.contains(request)) {
        wrong.add(fmt::format("rule 2: {} {:016x} was nacked and had run", attempt.type, request));
      }
      if (answer.kind != AnswerKind::kSucceeded) continue;
      const auto found = by_key.find(attempt.type + " " + attempt.key);
      const bool known = found != by_key.end() &&
                         std::any_of(found->second.begin(), found->second.end(),
                                     [&](const RunSeen* run) { return run->result == answer.result; });
      if (!known)
        wrong.add(fmt::format("rule 2: {} {:016x} was acked with what no run of its key made", attempt.type,
                              request));
    }
  }
}

// Rules 2 and 3 where the program numbers requests itself: by key, of which there are no more runs than
// attempts that were not rejected, and none at all where each attempt came after the grace.
void check_runs_by_key(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  BreakReport wrong(verdict, verdict.wrong_results);
  std::map<std::string, int> may_run, runs;
  for (const auto& [request, attempt] : journal.attempts) {
    if (!attempt.has_servers_number) continue;
    const Life& life = journal.lives.at(static_cast<std::size_t>(attempt.life));
    const double heard = std::clamp(life.heard_at, life.leave_at, life.leave_at + limits.hearing);
    const bool late = life.leave_at >= 0 && attempt.sent > heard + limits.grace + limits.rounding;
    const bool rejected = !attempt.answers.empty() && attempt.answers.front().kind == AnswerKind::kRejected;
    may_run[attempt.type + " " + attempt.key] += !late && !rejected;
  }
  std::set<std::uint64_t> seen;
  for (const RunSeen& run : journal.runs) {
    const bool is_keyed = std::find(limits.keyed.begin(), limits.keyed.end(), run.type) != limits.keyed.end();
    const bool is_again = !seen.insert(run.request).second;
    if (is_again && limits.starts_are_sent_again && !is_keyed) continue;
    ++runs[run.type + " " + run.key];
  }
  for (const auto& [key, most] : may_run) {
    if (runs.contains(key) && runs.at(key) > most)
      wrong.add(fmt::format("rules 2, 3: {} ran {} times, and {} tries of it were to run", key, runs.at(key),
                            most));
  }
}

// Rule 3: nothing that comes after the grace runs. The grace begins when the program hears of the notice,
// which it has to do soon: between the sending of a signal and its arrival lies what the machine makes of it.
void check_drain(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  int count = 0;
  BreakReport broken(verdict, count);
  for (const RunSeen& run : journal.runs) {
    const Life& life = journal.lives.at(static_cast<std::size_t>(run.life));
    const auto found = journal.attempts.find(run.request);
    if (life.leave_at < 0 || found == journal.attempts.end()) continue;
    const double heard = std::clamp(life.heard_at, life.leave_at, life.leave_at + limits.hearing);
    if (found->second.sent > heard + limits.grace + limits.rounding)
      broken.add(fmt::format("rule 3: {:016x} came after the grace and ran", run.request));
  }
}

// Rule 4: it ends when it is told to, and no more requests run at once than the runtime survives.
void check_endurance(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  for (const Life& life : journal.lives) {
    if (life.ended_at >= 0 && !life.killed && (life.leave_at < 0 || life.status != 0))
      verdict.broken.push_back(fmt::format("rule 4: the program ended by itself, status {}", life.status));
  }
  if (limits.survivable > 0 && journal.most_running > limits.survivable)
    verdict.broken.push_back(fmt::format("rule 4: {} ops ran at once", journal.most_running));
}

}  // namespace

std::string call_name(const CallSeen& call) {
  return fmt::format("call {} of {:016x}", call.number, call.request);
}

Verdict check_rules(const Journal& journal, const RuleLimits& limits) {
  Verdict verdict;
  check_one_answer(journal, limits, verdict);
  check_replies(journal, limits, verdict);
  check_one_effect(journal, limits, verdict);
  check_runs_by_key(journal, limits, verdict);
  check_drain(journal, limits, verdict);
  check_endurance(journal, limits, verdict);
  return verdict;
}

}  // namespace damsonspoke::standins

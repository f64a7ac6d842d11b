#include <fmt/format.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <set>

#include "journal.h"

namespace damsonspoke::standins {
namespace {

constexpr std::size_t kMaxReportedViolations = 5;  // of one kind

// Counts the violations of one kind and describes the first of them in the verdict.
class ViolationReport {
 public:
  ViolationReport(Verdict& verdict, int& count) : verdict_(verdict), count_(count) {}
  void add(std::string text) {
    if (static_cast<std::size_t>(count_++) < kMaxReportedViolations)
      verdict_.broken.push_back(std::move(text));
  }

 private:
  Verdict& verdict_;
  int& count_;
};

// Rule 1: each request gets exactly one final answer, in time, unless the program was killed, shut down or
// unreachable.
void check_one_answer(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  ViolationReport missing(verdict, verdict.unanswered), late(verdict, verdict.late),
      twice(verdict, verdict.answered_twice);
  for (const auto& [request, attempt] : journal.attempts) {
    const Incarnation& incarnation = journal.incarnations.at(static_cast<std::size_t>(attempt.incarnation));
    const bool is_reachable =
        incarnation.is_reachable(attempt.sent, attempt.deadline + limits.deadline_slack_seconds);
    const bool was_cut_off =
        attempt.is_lost && (incarnation.was_killed || incarnation.shutdown_notice_at >= 0);
    if (attempt.answers.empty() && !was_cut_off && is_reachable)
      missing.add(fmt::format("rule 1: {} {:016x} has no answer", attempt.type, request));
    if (attempt.answers.size() > 1)
      twice.add(
          fmt::format("rule 1: {} {:016x} has {} answers", attempt.type, request, attempt.answers.size()));
    if (!attempt.answers.empty() &&
        attempt.answers.front().at > attempt.deadline + limits.deadline_slack_seconds && is_reachable) {
      late.add(fmt::format("rule 1: {} {:016x} answered {:.0f} ms after its due time", attempt.type, request,
                           (attempt.answers.front().at - attempt.deadline) * 1000));
    }
  }
}

// Rule 1: a reply of the dependency is delivered unchanged, and to the call that it belongs to.
void check_replies(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  ViolationReport changed(verdict, verdict.changed_replies);
  for (const RecordedCall& call : journal.calls) {
    if (!call.replied || call.reply == kReplyPrefix + call_body(call)) continue;
    int number = 0;
    std::uint64_t request = 0;
    const std::string format = std::string(kReplyPrefix) + "call %d of %" SCNx64;
    if (std::sscanf(call.reply.c_str(), format.c_str(), &number, &request) == 2) {
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

// Rule 2: a key runs once, and each success that is answered for it carries the result of that run.
void check_one_effect(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  ViolationReport runs(verdict, verdict.double_runs), wrong(verdict, verdict.wrong_results);
  std::map<std::string, std::vector<const RecordedRun*>> by_key;
  for (const RecordedRun& run : journal.runs) by_key[run.type + " " + run.key].push_back(&run);
  for (const auto& [name, runs_of_key] : by_key) {
    const bool keyed = std::find(limits.keyed_routes.begin(), limits.keyed_routes.end(),
                                 runs_of_key.front()->type) != limits.keyed_routes.end();
    if (keyed && runs_of_key.size() > 1) {
      runs.add(fmt::format("rule 2: key {} ran {} times, in lives {} and {}", name, runs_of_key.size(),
                           runs_of_key[0]->incarnation, runs_of_key[1]->incarnation));
    }
  }
  // A request id belongs to one process. A run in two incarnations means that the id was used twice.
  std::map<std::uint64_t, int> run_incarnations;
  for (const RecordedRun& run : journal.runs) {
    const auto [at, is_first] = run_incarnations.emplace(run.request, run.incarnation);
    if (is_first || at->second == run.incarnation) continue;
    runs.add(fmt::format("rule 2: {} {:016x} ran in lives {} and {}", run.type, run.request, at->second,
                         run.incarnation));
  }
  for (const auto& [request, attempt] : journal.attempts) {
    for (const Answer& answer : attempt.answers) {
      if (answer.kind == AnswerKind::kRejected && run_incarnations.contains(request)) {
        wrong.add(fmt::format("rule 2: {} {:016x} was rejected although it had run", attempt.type, request));
      }
      if (answer.kind != AnswerKind::kSucceeded) continue;
      const auto found = by_key.find(attempt.type + " " + attempt.key);
      const bool is_result_of_a_run =
          found != by_key.end() &&
          std::any_of(found->second.begin(), found->second.end(),
                      [&](const RecordedRun* run) { return run->result == answer.result; });
      if (!is_result_of_a_run)
        wrong.add(fmt::format("rule 2: {} {:016x} succeeded with a result that no run of its key made",
                              attempt.type, request));
    }
  }
}

// Rule 2: a process that has run a keyed request does not reject a later attempt with its key: its caller
// would take that to another server, which runs it a second time.
void check_rejected_repeats(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  ViolationReport rejected(verdict, verdict.rejected_repeats);
  std::map<std::string, std::vector<const RecordedRun*>> by_key;
  for (const RecordedRun& run : journal.runs) by_key[run.type + " " + run.key].push_back(&run);
  for (const auto& [request, repeat] : journal.attempts) {
    const auto window = limits.key_windows.find(repeat.type);
    const auto runs = by_key.find(repeat.type + " " + repeat.key);
    const bool is_rejected = !repeat.answers.empty() &&
                             repeat.answers.front().kind == AnswerKind::kRejected && !repeat.is_read_late;
    if (window == limits.key_windows.end() || runs == by_key.end() || !is_rejected) continue;
    const auto has_run = [&, repeat = &repeat](const RecordedRun* run) {
      const auto original = journal.attempts.find(run->request);
      return original != journal.attempts.end() && original->second.incarnation == repeat->incarnation &&
             original->second.sent < repeat->sent && repeat->sent < original->second.sent + window->second &&
             run->began < repeat->answers.front().at;
    };
    if (std::any_of(runs->second.begin(), runs->second.end(), has_run))
      rejected.add(fmt::format("rule 2: {} {:016x} was rejected although its key {} had run", repeat.type,
                               request, repeat.key));
  }
}

// Rules 2 and 3 for requests whose ids the program chose, which are matched by key: a key has at most as many
// runs as attempts that were neither rejected nor sent after the grace period.
void check_runs_by_key(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  ViolationReport wrong(verdict, verdict.wrong_results);
  std::map<std::string, int> allowed_runs, runs;
  for (const auto& [request, attempt] : journal.attempts) {
    if (!attempt.is_numbered_by_server) continue;
    const Incarnation& incarnation = journal.incarnations.at(static_cast<std::size_t>(attempt.incarnation));
    const double notice_at = std::clamp(incarnation.shutdown_logged_at, incarnation.shutdown_notice_at,
                                        incarnation.shutdown_notice_at + limits.max_signal_delay_seconds);
    const bool late = incarnation.shutdown_notice_at >= 0 &&
                      attempt.sent > notice_at + limits.grace_seconds + limits.timestamp_rounding_seconds;
    const bool rejected = !attempt.answers.empty() && attempt.answers.front().kind == AnswerKind::kRejected;
    allowed_runs[attempt.type + " " + attempt.key] += !late && !rejected;
  }
  std::set<std::uint64_t> seen;
  for (const RecordedRun& run : journal.runs) {
    const bool is_keyed = std::find(limits.keyed_routes.begin(), limits.keyed_routes.end(), run.type) !=
                          limits.keyed_routes.end();
    const bool is_repeated = !seen.insert(run.request).second;
    if (is_repeated && limits.are_starts_resent && !is_keyed) continue;
    ++runs[run.type + " " + run.key];
  }
  for (const auto& [key, allowed] : allowed_runs) {
    if (runs.contains(key) && runs.at(key) > allowed)
      wrong.add(fmt::format("rules 2, 3: {} ran {} times, but only {} attempts were allowed to run", key,
                            runs.at(key), allowed));
  }
}

// Rule 3: a request that arrives after the grace period does not run. The grace period begins when the
// program handles the shutdown signal, for which a busy machine is allowed max_signal_delay_seconds.
void check_drain(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  int count = 0;
  ViolationReport broken(verdict, count);
  for (const RecordedRun& run : journal.runs) {
    const Incarnation& incarnation = journal.incarnations.at(static_cast<std::size_t>(run.incarnation));
    const auto found = journal.attempts.find(run.request);
    if (incarnation.shutdown_notice_at < 0 || found == journal.attempts.end()) continue;
    const double notice_at = std::clamp(incarnation.shutdown_logged_at, incarnation.shutdown_notice_at,
                                        incarnation.shutdown_notice_at + limits.max_signal_delay_seconds);
    if (found->second.sent > notice_at + limits.grace_seconds + limits.timestamp_rounding_seconds)
      broken.add(fmt::format("rule 3: {:016x} was sent after the grace period and ran", run.request));
  }
}

// Rule 4: the program ends only when it is shut down, with status 0, and no more requests run at once than
// the runtime survives.
void check_endurance(const Journal& journal, const RuleLimits& limits, Verdict& verdict) {
  for (const Incarnation& incarnation : journal.incarnations) {
    if (incarnation.ended_at >= 0 && !incarnation.was_killed &&
        (incarnation.shutdown_notice_at < 0 || incarnation.status != 0))
      verdict.broken.push_back(
          fmt::format("rule 4: the program ended by itself, status {}", incarnation.status));
  }
  if (limits.survivable_concurrency > 0 && journal.max_concurrency > limits.survivable_concurrency)
    verdict.broken.push_back(fmt::format("rule 4: {} requests ran at once", journal.max_concurrency));
}

}  // namespace

std::string call_body(const RecordedCall& call) {
  return fmt::format("call {} of {:016x}", call.number, call.request);
}

Verdict check_rules(const Journal& journal, const RuleLimits& limits) {
  Verdict verdict;
  check_one_answer(journal, limits, verdict);
  check_replies(journal, limits, verdict);
  check_one_effect(journal, limits, verdict);
  check_rejected_repeats(journal, limits, verdict);
  check_runs_by_key(journal, limits, verdict);
  check_drain(journal, limits, verdict);
  check_endurance(journal, limits, verdict);
  return verdict;
}

}  // namespace damsonspoke::standins

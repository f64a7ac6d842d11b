// The events that the stand-ins record, and the check of the four service rules over them. One journal covers
// a whole play with all incarnations of the program. Times are monotonic, in seconds; -1: it did not happen.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace damsonspoke::standins {

// How a request was answered. kInvalid: the answer violates the protocol.
enum class AnswerKind { kSucceeded, kRejected, kFailed, kUnknownOutcome, kConflict, kInvalid };

// One answer, as read by the caller.
struct Answer {
  double at = 0;
  AnswerKind kind = AnswerKind::kFailed;
  std::string result;
  double retry_after = 0;  // s, from a rejection; 0: none given
};

// One attempt at a caller's task, as seen by the caller. Each attempt is a request with its own id.
struct Attempt {
  std::uint64_t request = 0;
  std::string key;  // of the task; all its attempts share it
  std::string type;
  int incarnation = 0;  // of the program when the attempt was sent
  double sent = 0;
  double deadline = 0;
  bool is_lost = false;  // the connection ended before an answer was read
  double lost_at = -1;
  bool is_read_late = false;           // the caller paused reading; answer times are times of reading
  bool was_on_new_connection = false;  // if lost: its connection had not carried any answer
  bool is_numbered_by_server =
      false;  // the program chose the request id, so its runs can be matched by key only
  std::vector<Answer> answers;
};

// One run, as seen by the runtime.
struct RecordedRun {
  std::uint64_t request = 0;
  std::string key;
  std::string type;
  int incarnation = 0;
  double began = 0, ended = 0;
  std::string result;  // sent when the run completes
  bool completed = false;
};

// One call to the dependency that a run made, as seen by the runtime.
struct RecordedCall {
  std::uint64_t request = 0;
  int number = 0;  // within its run, from 1
  bool replied = false;
  std::string reply;  // delivered while the run waited for this call
};
// The body of a call. A dependency that names calls replies with kReplyPrefix and this body.
std::string call_body(const RecordedCall& call);
inline constexpr char kReplyPrefix[] = "reply to ";

// One process of the program, from its start to its end.
struct Incarnation {
  double began = 0;
  double shutdown_notice_at = -1;  // the shutdown notice (SIGTERM) was sent
  double shutdown_logged_at = -1;  // the log line about the notice was read here, which may be late
  double ended_at = -1;
  bool was_killed = false;  // by the play, with SIGKILL
  int status = 0;           // exit status, unless it was killed
  // Periods in which the play kept it from serving callers: it was paused, or its callers' link was cut.
  std::vector<std::pair<double, double>> unreachable_periods;
  double killed_at = -1;  // SIGKILL was sent
  // Whether no such period overlaps this one.
  bool is_reachable(double from, double to) const {
    for (const auto& [began, ended] : unreachable_periods) {
      if (from <= ended && to >= began) return false;
    }
    return true;
  }
};

// All that a play records.
struct Journal {
  std::map<std::uint64_t, Attempt> attempts;  // by request
  std::vector<RecordedRun> runs;
  std::vector<RecordedCall> calls;
  std::vector<Incarnation> incarnations;
  int max_concurrency = 0;  // maximum number of requests that ran at once
};

// Tolerances and expectations of the rules in a play.
struct RuleLimits {
  std::vector<std::string> keyed_routes;  // routes on which each key may run only once
  // Idempotency windows of the routes whose repeats are recognized by key, s.
  std::map<std::string, double> key_windows;
  double deadline_slack_seconds = 0.1;     // after its deadline, in which an answer still counts as in time
  double grace_seconds = 0.3;              // after the shutdown notice, in which new requests may run
  double max_signal_delay_seconds = 0.25;  // until the signal takes effect on a busy machine
  double timestamp_rounding_seconds = 0.001;  // callers send times in whole milliseconds
  int survivable_concurrency = 0;             // limit of requests that run at once; 0: none
  bool replies_name_calls = false;            // every reply has to name its call; others were changed
  // The links to runtimes are cut during the play, so the start of a retryable request may be sent again
  // after its run has ended. If the program chose the request id, such runs count as one.
  bool are_starts_resent = false;
};

// The violations of the rules: descriptions, and the number of each kind.
struct Verdict {
  std::vector<std::string> broken;  // descriptions, the first five of each kind
  int double_runs = 0;
  int wrong_results = 0;
  int rejected_repeats = 0;
  int unanswered = 0;
  int late = 0;
  int answered_twice = 0;
  int changed_replies = 0;
  bool kept() const { return broken.empty(); }
};

// Checks the recorded events against the four service rules.
Verdict check_rules(const Journal& journal, const RuleLimits& limits);

}  // namespace damsonspoke::standins

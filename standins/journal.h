// What the stand-ins saw, and the four service rules over it. One journal for a whole play, over all lives of
// the program. Times are monotonic, in s; -1 where a time never came.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace damsonspoke::standins {

// How a request was answered; kBad: by what no answer may be.
enum class AnswerKind { kSucceeded, kRejected, kFailed, kUnknownOutcome, kConflict, kInvalid };

// One answer, as the caller read it.
struct Answer {
  double at = 0;
  AnswerKind kind = AnswerKind::kFailed;
  std::string result;
  double retry_after = 0;  // s, told with a rejection; 0: none
};

// One attempt at what a caller wants, as its caller saw it: a request of its own.
struct Attempt {
  std::uint64_t request = 0;
  std::string key;  // of what is wanted; all attempts at it share the key
  std::string type;
  int incarnation = 0;  // of the program, when it was sent
  double sent = 0;
  double deadline = 0;
  bool is_lost = false;  // its connection ended before an answer
  double lost_at = -1;
  bool was_not_sent = false;           // never sent
  bool is_read_late = false;           // its caller read nothing for a while: the times tell when it read
  bool was_on_new_connection = false;  // when lost: nothing had been answered on its connection
  bool is_numbered_by_server =
      false;  // the program numbered its request itself: its runs are known by key alone
  std::vector<Answer> answers;
};

// One run, as the runtime saw it.
struct RecordedRun {
  std::uint64_t request = 0;
  std::string key;
  std::string type;
  int incarnation = 0;
  double began = 0, ended = 0;
  std::string result;  // what it was given to end with
  bool completed = false;
};

// One call that a run made, as the runtime saw it.
struct RecordedCall {
  std::uint64_t request = 0;
  int number = 0;  // from 1, of its run
  bool replied = false;
  std::string reply;  // as it was given to the run while it waited for this call
};
// The body of a call. A dependency that names calls replies with kReplyTo and that.
std::string call_body(const RecordedCall& call);
inline constexpr char kReplyPrefix[] = "reply to ";

// One life of the program: a process, from its start to its end.
struct Incarnation {
  double began = 0;
  double shutdown_notice_at = -1;  // the notice to leave was sent
  double shutdown_logged_at = -1;  // its log said that it heard that, as read here: never sooner than it did
  double ended_at = -1;
  bool was_killed = false;  // by the play
  int status = 0;           // where it ended by itself
  // Times in which it could do nothing for callers by the play's doing: it stood still, or its callers' link
  // was cut.
  std::vector<std::pair<double, double>> unreachable_periods;
  double killed_at = -1;  // SIGKILL was sent
  // Whether none of these times touches this one.
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
  int max_concurrency = 0;  // requests at once
};

// What the rules allow in a play.
struct RuleLimits {
  std::vector<std::string> keyed_routes;      // routes that must not run twice a key
  double deadline_slack_seconds = 0.1;        // s after the due time that an answer may come
  double grace_seconds = 0.3;                 // s after the notice in which what comes may still run
  double max_signal_delay_seconds = 0.25;     // s that the notice may take to be heard on a crowded machine
  double timestamp_rounding_seconds = 0.001;  // s; callers tell in whole milliseconds when a request came
  int survivable_concurrency = 0;             // requests running at once; 0: any
  bool replies_name_calls = false;            // the dependency does: each other reply has been changed
  // Links of runtimes are cut: a retryable request's start may be sent again after its end. Where the program
  // numbers a request itself, its runs count as one then.
  bool are_starts_resent = false;
};

// How the rules were kept: how often each was broken, and how.
struct Verdict {
  std::vector<std::string> broken;  // sentences, the first five of each kind
  int double_runs = 0;
  int wrong_results = 0;
  int unanswered = 0;
  int late = 0;
  int answered_twice = 0;
  int changed_replies = 0;
  bool kept() const { return broken.empty(); }
};

// Holds the four service rules against all that was recorded.
Verdict check_rules(const Journal& journal, const RuleLimits& limits);

}  // namespace damsonspoke::standins

// What the stand-ins saw, and the four rules over it. One journal for a whole play, over all lives of the
// program.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace damsonspoke::standins {

enum class AnswerKind { kSucceeded, kRejected, kFailed, kUnknownOutcome, kConflict, kBad };

struct Answer {
  double at = 0;  // s, monotonic
  AnswerKind kind = AnswerKind::kFailed;
  std::string result;
  double retry_after = 0;  // s, told with a rejection; 0: none
};

// One try of a request, as its caller saw it.
struct Try {
  std::uint64_t request = 0;
  std::string key;  // of the thing wanted; tries of one thing share it
  std::string type;
  int life = 0;          // of the program, when it was sent
  double sent = 0;       // s
  double due = 0;        // s
  bool lost = false;     // its connection ended before an answer
  double lost_at = -1;   // s; when it did
  bool refused = false;  // never sent
  bool read_late =
      false;  // its caller did not look at its connection for a while: the times tell when it did
  bool connection_was_new = false;  // when lost: nothing had been answered on its connection
  bool unnumbered =
      false;  // the program gave its request a number of its own: its runs are known by key alone
  std::vector<Answer> answers;
};

// One run, as the runtime saw it.
struct RunSeen {
  std::uint64_t request = 0;
  std::string key;
  std::string type;
  int life = 0;
  double began = 0, ended = 0;
  std::string result;  // what it was given to end with
  bool completed = false;
};

// One call that a run wanted, as the runtime saw it.
struct CallSeen {
  std::uint64_t request = 0;
  int number = 0;  // from 1, of its run
  bool replied = false;
  std::string reply;  // as it was given to the run while it waited for this call
};
// What its body says, and after kReplyTo the reply of a layer below that names calls.
std::string call_name(const CallSeen& call);
inline constexpr char kReplyTo[] = "reply to ";

// One life of the program.
struct Life {
  double began = 0;
  double leave_at = -1;  // the notice was sent
  double heard_at = -1;  // its log said that it heard, as read here: never sooner than it did
  double ended_at = -1;
  bool killed = false;  // by us
  int status = 0;       // otherwise
  // Times in which nothing could come of it by our own doing: it stood still, or its callers' link was cut.
  std::vector<std::pair<double, double>> out_of_reach;
  double killed_at = -1;  // SIGKILL was sent
  bool reachable(double from, double to) const {
    for (const auto& [began, ended] : out_of_reach) {
      if (from <= ended && to >= began) return false;
    }
    return true;
  }
};

struct Journal {
  std::map<std::uint64_t, Try> tries;
  std::vector<RunSeen> runs;
  std::vector<CallSeen> calls;
  std::vector<Life> lives;
  int most_running = 0;
};

struct RuleLimits {
  std::vector<std::string> keyed;   // routes that must not run twice a key
  double slack = 0.1;               // s after the due time that an answer may come
  double grace = 0.3;               // s after the notice in which what comes may still run
  double hearing = 0.25;            // s that the notice may take to be heard on a crowded machine
  double rounding = 0.001;          // s; callers tell in whole milliseconds when a request came
  int survivable = 0;               // requests running at once; 0: any
  bool replies_name_calls = false;  // the layer below does: each other reply has been changed
  // Links of runtimes are cut: a retryable request's start may be sent again after its end. Where a request's
  // number is the program's own, its runs count as one then.
  bool starts_are_sent_again = false;
};

struct Verdict {
  std::vector<std::string> broken;  // plain words, the first few of each kind
  int double_runs = 0;
  int wrong_results = 0;
  int unanswered = 0;
  int late = 0;
  int answered_twice = 0;
  int changed_replies = 0;
  bool kept() const { return broken.empty(); }
};

Verdict check_rules(const Journal& journal, const RuleLimits& limits);

}  // namespace damsonspoke::standins

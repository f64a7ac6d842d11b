// A planner's sessions with its forwarders: the open attempts of each forwarder, and a cache of recent
// answers. An attempt belongs to one epoch of one forwarder, whichever link it arrived on. Answers that were
// made while there was no link, or just before one broke, are cached in bounded memory, so that they can be
// sent again when the forwarder asks. Policy without I/O.
//
// A planner can prove only what its session covers. Once a session has ended, nothing is known about its
// attempts: the next session of the same forwarder announces another planner epoch, so that the forwarder
// requests no proof about them.
//
// The numbers of attempts increase during an epoch. Raising the lowest accepted number therefore fences every
// attempt that was never received; no list of fenced attempts is needed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/request.h"
#include "wire/tier.h"

namespace damsonspoke::tier {

struct ForwarderSessionsOptions {
  double reconnect_grace_seconds = 0.75;        // how long a session outlives its link
  std::size_t answer_cache_bytes = 256 * 1024;  // shared evenly by all sessions
  std::size_t max_forwarders = 128;
  std::size_t max_open_attempts = 4096;  // of one forwarder; more than any window
};

// Identifies a session: one epoch of one forwarder. Never 0, never reused.
using ForwarderId = std::uint64_t;

struct OpenAttempt {
  RequestId request = 0;
  int route = 0;
};

class ForwarderSessions {
 public:
  // `process_epoch`: of the planner's process, drawn at random.
  ForwarderSessions(ForwarderSessionsOptions options, std::uint64_t process_epoch)
      : options_(options), process_epoch_(process_epoch) {}

  // The result of a forwarder's hello on a link. `superseded_link` (0: none) has to be closed without reading
  // the rest of its input, so that an attempt that was not received can't arrive later. The callers of the
  // `abandoned` requests have disconnected, because the forwarder has restarted.
  struct SessionStart {
    ForwarderId forwarder = 0;  // 0: there are too many forwarders
    // To be sent to the forwarder; constant for the session.
    std::uint64_t planner_epoch = 0;
    std::uint64_t superseded_link = 0;
    std::vector<RequestId> abandoned;
  };
  SessionStart open_session(const std::string& name, std::uint64_t epoch, std::uint64_t link);
  // `now`: s on a clock that never steps back.
  void on_link_lost(std::uint64_t link, double now);
  // Ends the sessions that have been without a link for longer than the grace period and returns their
  // requests.
  [[nodiscard]] std::vector<RequestId> take_expired(double now);

  enum class SubmitResult { kAccepted, kFenced, kTooMany };
  SubmitResult submit(ForwarderId forwarder, std::uint64_t attempt, RequestId request, int route);
  // The caller has disconnected. Returns the request if its attempt is still open.
  [[nodiscard]] std::optional<RequestId> cancel(ForwarderId forwarder, std::uint64_t attempt);

  // The outcome of fencing an attempt.
  struct FenceResult {
    wire::tier::Answer answer;           // to be sent to the forwarder
    std::optional<RequestId> abandoned;  // it has not started and must not start
  };
  // Ensures that an attempt that has not started never will, and returns the proof of that; otherwise returns
  // what is known about the attempt. `may_have_run` returns whether a request was ever run, or is a duplicate
  // that waits for a run: the proof would be taken for one about its operation.
  [[nodiscard]] FenceResult fence(ForwarderId forwarder, std::uint64_t attempt,
                                  const std::function<bool(RequestId)>& may_have_run);

  // Caches an attempt's answer and ends the attempt. Returns the link to send the answer on, or 0 if there is
  // none.
  std::uint64_t record_answer(ForwarderId forwarder, const wire::tier::Answer& answer);
  // The open attempt, otherwise null.
  [[nodiscard]] const OpenAttempt* find(ForwarderId forwarder, std::uint64_t attempt) const;

  // Whether the session exists and has a link: false once it has ended or has been replaced.
  [[nodiscard]] bool is_linked(ForwarderId forwarder) const;
  [[nodiscard]] std::size_t linked_forwarders() const;
  [[nodiscard]] std::size_t open_attempts() const;
  [[nodiscard]] std::size_t open_attempts(ForwarderId forwarder) const;

 private:
  struct Session {
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t link = 0;          // 0: none
    double disconnected_at = -1;     // < 0: it has a link
    std::uint64_t last_attempt = 0;  // attempts up to this number are no longer accepted
    std::map<std::uint64_t, OpenAttempt> open;
    std::deque<wire::tier::Answer> cached_answers;  // the oldest first
    std::size_t cached_bytes = 0;
  };
  [[nodiscard]] std::uint64_t planner_epoch(ForwarderId forwarder) const {
    return process_epoch_ + forwarder;
  }
  [[nodiscard]] bool has_expired(const Session& session, double now) const;
  void trim_cache(Session& session) const;
  static void append_open_requests(const Session& session, std::vector<RequestId>& out);

  const ForwarderSessionsOptions options_;
  const std::uint64_t process_epoch_;
  std::map<ForwarderId, Session> sessions_;
  ForwarderId next_id_ = 1;
};

}  // namespace damsonspoke::tier

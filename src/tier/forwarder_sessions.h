// What a planner holds for its forwarders: the planner's side of the fence. Pure policy. An attempt belongs
// to one life of one forwarder, whatever link it came on; links come and go, and what was answered while none
// was there, or just before one broke, is cached_answers for a while in bounded memory, to be told again when
// asked.
//
// Attempts of a life rise. So one that is asked about and was never last_attempt can be fenced off for good
// by raising the number under which nothing is taken any more: no list of fenced ones is needed, and no bound
// on it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/request.h"
#include "wire/tier.h"

namespace damsonspoke::tier {

struct ForwarderSessionsOptions {
  double reconnect_grace_seconds = 0.75;        // s that a forwarder without a link may take to come back
  std::size_t answer_cache_bytes = 256 * 1024;  // of answers, shared evenly by the forwarders that are known
  std::size_t max_forwarders = 128;
  std::size_t max_open_attempts = 4096;  // attempts, a forwarder; more than any window
};

// A forwarder as long as it is known here; never used again.
using ForwarderId = std::uint64_t;

struct OpenAttempt {
  RequestId request = 0;
  int route = 0;
};

class ForwarderSessions {
 public:
  explicit ForwarderSessions(ForwarderSessionsOptions options) : options_(options) {}

  // A forwarder says hello on a link. Requests of its former life have lost their caller; a link that it had
  // is to be closed unread, which makes "never last_attempt" final.
  struct SessionStart {
    ForwarderId forwarder = 0;  // 0: there are too many
    std::uint64_t superseded_link = 0;
    std::vector<RequestId> abandoned;
  };
  SessionStart open_session(const std::string& name, std::uint64_t epoch, std::uint64_t link);
  void on_link_lost(std::uint64_t link, double now);
  // Requests of forwarders that have not come back in time.
  std::vector<RequestId> take_expired(double now);
  double next_expiry() const;  // < 0: none

  enum class SubmitResult { kAccepted, kFenced, kTooMany };
  SubmitResult submit(ForwarderId forwarder, std::uint64_t attempt, RequestId request, int route);
  // Nobody waits for it; the request, where it is still open.
  std::optional<RequestId> cancel(ForwarderId forwarder, std::uint64_t attempt);

  // What is proven of an attempt. `started`: whether a request of that id has ever been told to run.
  struct Proof {
    wire::tier::Answer answer;           // to be sent
    std::optional<RequestId> abandoned;  // a request that is held and will not run: its caller is gone
  };
  template <class Started>
  Proof fence(ForwarderId forwarder, std::uint64_t attempt, const Started& started) {
    return prove(forwarder, attempt, [&](RequestId request) -> bool { return started(request); });
  }

  // The attempt's answer. The link it goes to now, 0 where there is none; it is cached_answers in either
  // case.
  std::uint64_t record_answer(ForwarderId forwarder, const wire::tier::Answer& answer);
  const OpenAttempt* find(ForwarderId forwarder, std::uint64_t attempt) const;

  std::size_t forwarders() const { return forwarders_.size(); }
  std::size_t linked_forwarders() const;
  std::size_t open_attempts() const;
  std::size_t open_attempts(ForwarderId forwarder) const;

 private:
  struct Forwarder {
    std::string name;
    std::uint64_t epoch = 0, link = 0;
    double disconnected_at = -1;
    std::uint64_t last_attempt = 0;  // attempts up to this number are not taken any more
    std::map<std::uint64_t, OpenAttempt> open;
    std::deque<wire::tier::Answer> cached_answers;
    std::size_t cached_bytes = 0;
  };
  Proof prove(ForwarderId forwarder, std::uint64_t attempt, const std::function<bool(RequestId)>& started);
  void trim(Forwarder& forwarder) const;
  static std::vector<RequestId> open_requests_of(const Forwarder& forwarder);

  const ForwarderSessionsOptions options_;
  std::map<ForwarderId, Forwarder> forwarders_;
  ForwarderId next_ = 1;
};

}  // namespace damsonspoke::tier

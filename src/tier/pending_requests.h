// The requests that a forwarder has to answer, with their deadlines and the times at which their attempts
// are late. Times are seconds on one monotonic clock.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "tier/dispatch_sink.h"
#include "tier/key_route_cursor.h"

namespace damsonspoke::tier {

struct PendingRequest {
  ForwardedRequest details;
  KeyRouteCursor key_route;  // of a keyed request
  double arrived_at = 0;
  double deadline = 0;  // latest time at which its reply is sent
  double sent_at = 0;   // of the current attempt
  int attempts_begun = 0;
  // False: it may only get the result of an earlier attempt with its key, and no planner may run it.
  bool may_start = true;
  // KeyAttempts counts it as a request that may be sent.
  bool is_key_pending = false;
  // Its current attempt only asks for the result of its key.
  bool is_looked_up = false;
  // Its current attempt is counted in KeyAttempts.
  bool has_key_attempt = false;

  [[nodiscard]] std::size_t route() const { return static_cast<std::size_t>(details.route); }
  // Whether its target is only asked for the result of its key.
  [[nodiscard]] bool is_lookup_only() const { return key_route.is_lookup() || !may_start; }
  [[nodiscard]] double window_ends_at() const { return arrived_at + details.idempotency_window; }
};

class PendingRequests {
 public:
  void add(const PendingRequest& request);
  void erase(RequestId id);
  [[nodiscard]] bool contains(RequestId id) const { return requests_.contains(id); }
  [[nodiscard]] PendingRequest& at(RequestId id) { return requests_.at(id).request; }
  [[nodiscard]] const PendingRequest& at(RequestId id) const { return requests_.at(id).request; }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

  // Moves later deadlines to `latest`.
  void cap_deadlines(double latest);
  // The request with the earliest deadline, if that deadline has passed.
  [[nodiscard]] std::optional<RequestId> first_overdue(double now) const;

  // The request's current attempt counts as late from `time` on.
  void schedule_fence(RequestId id, double time);
  void cancel_fence(RequestId id);
  // Takes the request whose attempt has been late for longest, if there is one.
  [[nodiscard]] std::optional<RequestId> take_late(double now);

  // The earliest deadline or fence; none if nothing is scheduled.
  [[nodiscard]] std::optional<double> next_event() const;

 private:
  struct Entry {
    PendingRequest request;
    double fence_at = -1;  // < 0: not scheduled
  };
  using Schedule = std::set<std::pair<double, RequestId>>;

  std::unordered_map<RequestId, Entry> requests_;
  Schedule deadlines_;
  Schedule fences_;
};

}  // namespace damsonspoke::tier

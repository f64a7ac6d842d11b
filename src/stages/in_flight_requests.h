// The requests in flight. Each gets exactly one answer and is removed once it is answered and its run is
// over.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/options.h"
#include "catalog/version.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"

namespace damsonspoke::stages {

enum class RunStage {
  kNone,          // not started, or over
  kRecordingKey,  // starts once the intent record of its idempotency key is durable
  kRunning,
  kPaused,
  kInCall,  // waits for a dependency call
};

struct InFlightRequest {
  RequestId id = 0;
  int route = 0;             // position in the catalog
  std::string route_name;    // when the request was read; later changes of the catalog do not affect it
  Route route_settings;      // when the request was read, likewise
  catalog::Version version;  // of the catalog when the request was read
  peers::ReplyAddress reply_to;
  std::string body;
  double deadline = 0;    // Unix seconds
  bool answered = false;  // or its caller has disconnected
  RunStage run = RunStage::kNone;
  bool started = false;  // a start command for its run was sent to the runtime
  // It is a duplicate of a keyed request and gets the result of that request's run, which it waits for.
  bool awaits_keyed_original = false;
  bool was_paused = false;        // its run was stopped after it had executed in part
  std::uint64_t call_notice = 0;  // number of the runtime's notice that requested the call
  std::string call_body;          // body of the call; empty once the call has ended

  // Whether the runtime holds a run of this request: running, paused or in a call.
  [[nodiscard]] bool is_at_runtime() const {
    return run == RunStage::kRunning || run == RunStage::kPaused || run == RunStage::kInCall;
  }
};

// Invariant: a request is answered at most once, and a rejected request has never run.
class InFlightRequests {
 public:
  InFlightRequests(const peers::Ports& peers, Counters& counters) : peers_(peers), counters_(counters) {}

  // References stay valid until release_if_over() has released the request.
  InFlightRequest& add(InFlightRequest request);
  InFlightRequest* find(RequestId id);
  [[nodiscard]] bool contains(RequestId id) const { return requests_.contains(id); }

  // Each of these answers the request. Nothing is sent if the request has been answered before or its caller
  // has disconnected. `retry_after`: seconds; 0: no advice. `no_retry`: other servers lack capacity too.
  void succeed(InFlightRequest& request, std::string_view result);
  void reject(InFlightRequest& request, double retry_after, bool no_retry);
  void fail(InFlightRequest& request, peers::FailureReason reason = peers::FailureReason::kFailed);
  void on_caller_disconnected(InFlightRequest& request);
  // Removes a request that is answered and whose run is over. Invalidates the reference, so it must be the
  // caller's last use of it.
  void release_if_over(InFlightRequest& request);

  // Logs each answer at level debug, with the version of the catalog that the request was handled by.
  void log_answers(Logger& log) { log_ = &log; }
  // The listener is called with each request before it is removed.
  void set_release_listener(std::function<void(const InFlightRequest&)> listener) {
    release_listener_ = std::move(listener);
  }

  // The requests whose runs the runtime holds, ordered by id.
  [[nodiscard]] std::vector<RequestId> at_runtime() const;
  // The requests that have not been answered, ordered by id.
  [[nodiscard]] std::vector<RequestId> unanswered_ids() const;
  [[nodiscard]] std::size_t unanswered() const { return unanswered_; }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  bool mark_answered(InFlightRequest& request, Count counter);

  const peers::Ports& peers_;
  Counters& counters_;
  Logger* log_ = nullptr;  // null: answers are not logged
  std::unordered_map<RequestId, InFlightRequest> requests_;
  std::function<void(const InFlightRequest&)> release_listener_;
  std::size_t unanswered_ = 0;
};

}  // namespace damsonspoke::stages

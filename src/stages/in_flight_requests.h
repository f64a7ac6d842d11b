// The requests that are in flight: each has one answer, and goes once it is answered and its run is over.
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
  kRecordingKey,  // starts once its idempotency key is durable
  kRunning,
  kPaused,
  kInCall,  // waits for a dependency call
};

struct InFlightRequest {
  RequestId id = 0;
  int route = 0;             // position in the catalog
  std::string route_name;    // as it was when the request was read: it ends under what it began with
  Route route_settings;      // likewise
  catalog::Version version;  // of the catalog by which it was decided
  peers::ReplyAddress reply_to;
  std::string body;
  double deadline = 0;    // Unix s
  bool answered = false;  // or its caller has gone
  RunStage run = RunStage::kNone;
  bool started = false;           // its run was ever asked of the runtime
  bool was_paused = false;        // its run was stopped after a part of it
  std::uint64_t call_notice = 0;  // number of the runtime's notice that asked for the call
  std::string call_body;          // of the call, until it is over

  // Whether the runtime has a run of it: running, paused or in a call.
  [[nodiscard]] bool is_at_runtime() const {
    return run == RunStage::kRunning || run == RunStage::kPaused || run == RunStage::kInCall;
  }
};

// Invariant: a request is answered at most once; what is rejected has never run.
class InFlightRequests {
 public:
  InFlightRequests(const peers::Ports& peers, Counters& counters) : peers_(peers), counters_(counters) {}

  // References stay valid until release_if_over() has released the request.
  InFlightRequest& add(InFlightRequest request);
  InFlightRequest* find(RequestId id);
  [[nodiscard]] bool contains(RequestId id) const { return requests_.contains(id); }

  // The one answer; nothing is sent where the request was answered before or its caller has gone.
  // `retry_after`: s, 0: no advice; `no_retry`: other servers lack capacity too.
  void succeed(InFlightRequest& request, std::string_view result);
  void reject(InFlightRequest& request, double retry_after, bool no_retry);
  void fail(InFlightRequest& request, peers::FailureReason reason = peers::FailureReason::kFailed);
  void on_caller_disconnected(InFlightRequest& request);
  // Releases a request that is answered and whose run is over. To be called last: the reference ends here.
  void release_if_over(InFlightRequest& request);

  // Logs each answer at level debug, with the version of the catalog by which it was decided.
  void log_answers(Logger& log) { log_ = &log; }
  // Called with each request before it is released.
  void set_release_listener(std::function<void(const InFlightRequest&)> listener) {
    release_listener_ = std::move(listener);
  }

  // Requests of which the runtime has a run, in the order of their ids.
  [[nodiscard]] std::vector<RequestId> at_runtime() const;
  // Those that wait for their answer, in the order of their ids.
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

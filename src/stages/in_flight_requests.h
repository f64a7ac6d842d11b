// The last stage: the open requests, their one answer each, and what was counted of them.
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

enum class Run { kNone, kRecording, kOnCores, kPaused, kAtCall };

struct InFlightRequest {
  RequestId id = 0;
  int route = 0;
  std::string route_name;  // its route, as it was when the request was read: it ends under what it began with
  Route route_settings;    // of that
  catalog::Version version;  // of the catalog, by which it was decided
  peers::ReplyAddress reply_to;
  std::string body;       // a dropped run starts with it again
  double due = 0;         // Unix s
  bool answered = false;  // or its caller has gone
  Run run = Run::kNone;
  bool started = false;           // it has been told to run, whatever came of it
  std::uint64_t call_notice = 0;  // the notice by which its run wants a call
  std::string call_body;          // of that call, until it is over
};

class InFlightRequests {
 public:
  InFlightRequests(const peers::Ports& peers, Counters& counters) : peers_(peers), counters_(counters) {}

  InFlightRequest& enter(InFlightRequest request);
  InFlightRequest* find(RequestId id);
  bool holds(RequestId id) const { return open_.contains(id); }

  // The one answer; nothing is sent where it was given before or nobody waits any more.
  void ack(InFlightRequest& request, std::string_view result);
  void reject(InFlightRequest& request, double retry_after, bool no_retry);
  void fail(InFlightRequest& request, peers::FailureReason why = peers::FailureReason::kPlain);
  void caller_gone(InFlightRequest& request);
  // Lets go of a request that is answered and whose run is over. To be called last: the reference ends here.
  void settle(InFlightRequest& request);
  // Each answer as a line of the log at level debug, with the version of the catalog that it was decided by.
  void log_answers(Logger& log) { log_ = &log; }
  // Told of each request that the book lets go of, before it does.
  void on_closed(std::function<void(const InFlightRequest&)> tell) { on_closed_ = std::move(tell); }

  // Requests of which the runtime has something: a run, running, paused or at a call. In the order of their
  // ids.
  std::vector<RequestId> at_runtime() const;

  std::size_t unanswered() const { return unanswered_; }
  std::size_t open() const { return open_.size(); }

 private:
  bool answer(InFlightRequest& request, Count as);

  const peers::Ports& peers_;
  Counters& counters_;
  Logger* log_ = nullptr;
  std::unordered_map<RequestId, InFlightRequest> open_;
  std::function<void(const InFlightRequest&)> on_closed_;
  std::size_t unanswered_ = 0;
};

}  // namespace damsonspoke::stages

// The interfaces between the peers, which speak protocols, and the stages, which process requests. They use
// the service's terms and units (seconds, kilobytes) and none of any protocol: support for another protocol
// is another peer behind the same interfaces.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>

#include "admission/request.h"

namespace damsonspoke::peers {

// Where the answer to a request goes: a connection and a number on it.
struct ReplyAddress {
  std::uint64_t connection = 0;
  std::uint64_t number = 0;
};

// A request as a server has read it.
struct IncomingRequest {
  RequestId id = 0;
  int route = 0;                // its number
  int tenant = 0;               // 0 where the site has none
  std::uint32_t caller = 0;     // identifies the process that sends it
  bool is_retry = false;        // set by callers that mark retries
  std::uint64_t subject = 0;    // identifies the entity that it concerns; 0: none
  double size_kb = 0;           // memory that it takes while it is queued
  double received_at = 0;       // Unix s at which it arrived at the host; 0: unknown
  double arrived_earlier = 0;   // s by which it may have arrived before that, as it lay unread
  double client_timeout = 0;    // s after that for which its caller waits; 0: unknown
  double work_hint = 0;         // s of work on a standard core, estimated by the caller; 0: unknown
  std::string idempotency_key;  // empty: none
  std::string body;
  bool is_lookup_only = false;  // a lookup: answered from the remembered result of its key; never runs
  ReplyAddress reply_to;
};

// The reason for a failure that is reported to the caller.
enum class FailureReason {
  kFailed,
  kOutcomeUnknown,  // an earlier attempt has run, with an unknown outcome
  kKeyConflict,     // the key belongs to a request with another body; it did not run
  kKeyUnknown,      // a lookup found no remembered result for its key; nothing ran
};

// ---- Events from the peers.

// Events that servers report about their callers.
class CallerEvents {
 public:
  virtual ~CallerEvents() = default;
  // Whether a request with this id is in flight, so that another one must not use the id.
  [[nodiscard]] virtual bool is_in_use(RequestId id) const = 0;
  // Whether it may not be reported as never run: its run was started, or it waits as a keyed duplicate for
  // another request, which may have run or may still run. False also where the request is not in flight.
  [[nodiscard]] virtual bool may_have_run(RequestId id) const = 0;
  // Whether a request that is not passed on may be rejected: no other request with its idempotency key has
  // run or may still run in this process. Otherwise it has to fail.
  [[nodiscard]] virtual bool may_be_rejected(const IncomingRequest& request) const = 0;
  // A complete request whose id is not in use; it gets exactly one answer.
  virtual void on_request_read(IncomingRequest request) = 0;
  // The caller has disconnected and no longer waits for the answer to this request.
  virtual void on_caller_disconnected(RequestId id) = 0;
  // A health check, which gets exactly one answer. `requires_self_test`: the client asks for a run of the
  // self-test.
  virtual void on_health_check(ReplyAddress reply_to, bool requires_self_test) = 0;
};

// Events that the runtime reports. Times are seconds.
class RuntimeEvents {
 public:
  virtual ~RuntimeEvents() = default;
  // Reported once, on the first link: the runtime has been up for `seconds_ago`.
  virtual void on_runtime_ready(bool is_cold, double seconds_ago) = 0;
  // `result`: of a run that succeeded; valid during the call.
  virtual void on_run_ended(RequestId id, Outcome outcome, double run_seconds, std::string_view result) = 0;
  // A run needs a call to the dependency. `notice`: its number, to be given to RuntimePort::skip_call.
  // `body`: of the call; valid during this one.
  virtual void on_call_requested(RequestId id, std::uint64_t notice, std::string_view body) = 0;
  // `tag`: the one that was given to RuntimePort::self_test.
  virtual void on_self_test_result(std::uint64_t tag, bool has_passed) = 0;
  // A start or a resumption was not carried out: nothing runs.
  virtual void on_not_started(RequestId id) = 0;
  // The start of the run, a reply that it waits for or a notice about it may have been lost, and the
  // deadline of its request has passed. Its end is no longer awaited, but may still be reported.
  virtual void on_run_given_up(RequestId id) = 0;
  // The runtime was restarted: its runs are lost, and their progress is unknown. `unsent`: the requests
  // whose start was never sent.
  virtual void on_runtime_restarted(const std::unordered_set<RequestId>& unsent) = 0;
};

// Events that the client of the dependency reports.
class DependencyEvents {
 public:
  virtual ~DependencyEvents() = default;
  // Each call ends once, unless it is cancelled. `reply`: of a call that succeeded; valid during this one.
  virtual void on_call_ended(RequestId id, Outcome outcome, double call_seconds, std::string_view reply) = 0;
};

// ---- Commands of the stages.

// Answers requests and health checks, each once.
class CallerPort {
 public:
  CallerPort() = default;
  CallerPort(const CallerPort&) = delete;
  CallerPort& operator=(const CallerPort&) = delete;
  virtual ~CallerPort() = default;
  // An answer to a connection that has closed meanwhile is dropped.
  virtual void answer_succeeded(ReplyAddress reply_to, std::string_view result) = 0;
  // `retry_after`: s; 0: the answer contains no time. `no_retry`: the request should not be retried at all.
  virtual void answer_rejected(ReplyAddress reply_to, double retry_after, bool no_retry) = 0;
  // The reason says whether the request may have run.
  virtual void answer_failed(ReplyAddress reply_to, FailureReason reason) = 0;
  virtual void answer_health_check(ReplyAddress reply_to, bool is_healthy) = 0;
  // Connections that are idle for longer are closed; 0: they are left open.
  virtual void set_idle_timeout(double seconds) = 0;
  // Asks all callers, and those that connect later, to send no more requests on their connections.
  virtual void announce_drain() = 0;
  // Reports that the runtime came up `seconds_ago`. A server that grants a concurrency window adapts it to
  // the warm-up.
  virtual void start_warm_up(bool /*is_cold*/, double /*seconds_ago*/) {}
  // The health of this backend, for servers that report it without being asked.
  virtual void set_healthy(bool /*is_healthy*/) {}
};

// A server that accepts connections and reads requests.
class RequestServer : public CallerPort {
 public:
  // Drops new connections; those that wait already are accepted over the next event-loop iterations, so
  // that no request already sent to this process is lost.
  virtual void stop_listening() = 0;
  // False once stop_listening() has accepted the last waiting connection.
  [[nodiscard]] virtual bool is_listening() const = 0;
  // Reads each connection once more and closes those that are idle then.
  virtual void close_idle_connections() = 0;
  // The number of open connections.
  [[nodiscard]] virtual std::size_t connections() const = 0;
  // The port on which it listens.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
};

// A run that is to be started.
struct RunStart {
  RequestId id = 0;
  std::string_view route;
  std::string_view body;
  bool may_repeat = false;  // whether a second run does no harm
  double seconds_left = 0;  // until the deadline of its request
};

// A call that a run waits for.
struct RequestedCall {
  std::uint64_t notice = 0;     // the number of the notice that asked for it
  bool may_be_skipped = false;  // the run may go on without it
  double seconds_left = 0;      // until the deadline of the request of the run
};

// Commands to the runtime, about the runs of requests.
class RuntimePort {
 public:
  virtual ~RuntimePort() = default;
  // Where it is unknown whether the start was delivered, it is sent again only if the run may repeat.
  virtual void start(const RunStart& run) = 0;
  // Interrupts a run; on_run_ended() reports that as kCancelled. The platform determines whether the
  // progress of the run is lost.
  virtual void stop(RequestId id) = 0;
  // Continues a run that was stopped and kept its progress. `seconds_left`: until the deadline of its
  // request.
  virtual void resume(RequestId id, double seconds_left) = 0;
  // Resumes a run that waits for a call, with its reply or without one. Where it is unknown whether the
  // reply was delivered, the call is skipped if it may be.
  virtual void send_reply(RequestId id, std::string_view reply, const RequestedCall& call) = 0;
  virtual void skip_call(RequestId id, std::uint64_t notice) = 0;
  // No more commands will follow for the run of this request.
  virtual void forget_run(RequestId id) = 0;
  // Asks for a run of the self-test; on_self_test_result() reports it under the tag.
  virtual void self_test(std::uint64_t tag) = 0;
  // Asks for a new reading of the gauges.
  virtual void request_gauges() = 0;
  // The latest reading; empty where it is too old. `now`: monotonic s.
  [[nodiscard]] virtual Gauges gauges(double now) const = 0;
};

// Calls to the dependency, one at a time for each request.
class DependencyPort {
 public:
  virtual ~DependencyPort() = default;
  // `timeout`: s, after which the call ends by itself.
  virtual void call(RequestId id, double timeout, std::string_view body) = 0;
  // Cancels the call, whose end is then not reported.
  virtual void cancel(RequestId id) = 0;
};

// The registry of backends.
class RegistryPort {
 public:
  virtual ~RegistryPort() = default;
  // Reports at once whether this backend accepts requests, and repeats that before the entry expires.
  virtual void report(bool is_accepting_requests) = 0;
};

// The peers as the stages see them. Filled in once all exist, before the first event, as peers and stages
// refer to each other.
struct Ports {
  CallerPort* callers = nullptr;
  RuntimePort* runtime = nullptr;
  DependencyPort* dependency = nullptr;
  RegistryPort* registry = nullptr;
};

}  // namespace damsonspoke::peers

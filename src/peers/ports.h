// What the peers tell the stages and what the stages ask of the peers, in the users' words and units: no
// protocol's words, seconds, kilobytes. Each side knows these interfaces only; another protocol is another
// peer behind the same ones.
#pragma once

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

struct IncomingRequest {
  RequestId id = 0;
  int route = 0;
  int tenant = 0;  // position among the site's; 0 where it has none
  std::uint32_t caller = 0;
  bool is_retry = false;      // a further try, where callers mark those
  std::uint64_t subject = 0;  // 0: none
  double size_kb = 0;
  double received_at = 0;       // Unix s, when it came to the machine; 0: not told
  double client_timeout = 0;    // s from then on that its caller waits; 0: not told
  double work_hint = 0;         // s of work on a standard core, as its caller estimates it; 0: not told
  std::string idempotency_key;  // by which a repeat is known; empty: none
  std::string body;
  bool known_only = false;  // answered from what is remembered of its key, or not at all: it never runs
  ReplyAddress reply_to;
};

// What a failed request's caller is told beside that it has failed.
enum class FailureReason {
  kPlain,
  kOutcomeUnknown,  // it repeats one that has run, and what that came to is not known
  kKeyConflict,     // its key belongs to a request that said something else; it did not run
  kNotKnown,        // it asked only whether its key is known: it is not; nothing ran
};

// ---- What the peers tell.
class CallerEvents {
 public:
  virtual ~CallerEvents() = default;
  virtual bool in_use(RequestId id) const = 0;
  // Whether it has ever been told to run; false also where it is not open.
  virtual bool has_started(RequestId id) const = 0;
  virtual void on_request_read(IncomingRequest request) = 0;
  virtual void on_caller_gone(RequestId id) = 0;
  virtual void on_check(ReplyAddress ticket, bool wants_work) = 0;
};

class RuntimeEvents {
 public:
  virtual ~RuntimeEvents() = default;
  // On the first link: it has come up, cold or warm, this long ago.
  virtual void on_runtime_ready(bool cold, double ago) = 0;
  virtual void on_run_ended(RequestId id, Outcome outcome, double spent, std::string_view result) = 0;
  virtual void on_call_wanted(RequestId id, std::uint64_t notice, std::string_view body) = 0;
  virtual void on_verdict(std::uint64_t tag, bool good) = 0;
  // A start or a resumption was not carried out: nothing runs.
  virtual void on_not_started(RequestId id) = 0;
  // It has begun anew: what it ran is gone, how far it came is not known. `unsent`: whose start has never
  // left.
  virtual void on_runtime_anew(const std::unordered_set<RequestId>& unsent) = 0;
};

class DependencyEvents {
 public:
  virtual ~DependencyEvents() = default;
  virtual void on_call_ended(RequestId id, Outcome outcome, double spent, std::string_view reply) = 0;
};

// ---- What the stages ask for.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  // Answers; a connection that has gone meanwhile takes none.
  virtual void answer_succeeded(ReplyAddress ticket, std::string_view result) = 0;
  virtual void answer_rejected(ReplyAddress ticket, double retry_after, bool no_retry) = 0;
  virtual void answer_failed(ReplyAddress ticket, FailureReason why) = 0;
  virtual void answer_check(ReplyAddress ticket, bool good) = 0;
  virtual void set_idle_timeout(double after) = 0;
  virtual void ask_no_more() = 0;  // of everyone, and of each who connects from now on
  // The work behind this backend came up so long ago (s); what a front hands out while it is cold follows.
  virtual void began(bool /*cold*/, double /*ago*/) {}
  virtual void health(bool /*good*/) {}  // of this backend, for a front that passes it on by itself
};

// A front as the program sees it: where requests come in.
class Front : public CallerPort {
 public:
  virtual void stop_listening() = 0;  // with nothing lost that has been written to us
  // Each connection is read once more and, where nothing is owed on it then, ended in order.
  virtual void end_all() = 0;
  virtual std::size_t connections() const = 0;
  virtual std::uint16_t port() const = 0;
};

class RuntimePort {
 public:
  virtual ~RuntimePort() = default;
  virtual void start(RequestId id, std::string_view type, std::string_view body) = 0;
  virtual void stop(RequestId id) = 0;
  virtual void resume(RequestId id) = 0;
  virtual void give(RequestId id, std::string_view reply) = 0;
  virtual void omit(RequestId id, std::uint64_t notice) = 0;
  virtual void forget(RequestId id) = 0;  // its run is over
  virtual void self_test(std::uint64_t tag) = 0;
  virtual void ask_gauges() = 0;
  // The last reading, or none where the last one is too old to mean anything.
  virtual Gauges gauges(double now) const = 0;
};

class DependencyPort {
 public:
  virtual ~DependencyPort() = default;
  virtual void call(RequestId id, double patience, std::string_view body) = 0;
  virtual void cancel(RequestId id) = 0;  // no end is told for it
};

class RegistryPort {
 public:
  virtual ~RegistryPort() = default;
  virtual void report(bool takes_work) = 0;  // at once, and again before the entry lapses
};

// The peers as the stages see them. Filled once all are there, before anything happens: peers and stages
// refer to each other.
struct Ports {
  CallerPort* callers = nullptr;
  RuntimePort* runtime = nullptr;
  DependencyPort* dependency = nullptr;
  RegistryPort* registry = nullptr;
};

}  // namespace damsonspoke::peers

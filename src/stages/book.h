// The last stage: the open ops, their one answer each, and what was counted of them.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/version.h"
#include "peers/ports.h"
#include "watch/counters.h"
#include "watch/logger.h"

namespace damsonspoke::stages {

enum class Run { kNone, kRecording, kOnCores, kPaused, kAtCall };

struct OpenOp {
  OpId id = 0;
  int type = 0;
  std::string type_name;     // its op type, as it was when the op was read: it ends under what it began with
  OpType settings;           // of that
  catalog::Version version;  // of the catalog, by which it was decided
  peers::Ticket ticket;
  std::string body;       // a dropped run starts with it again
  double due = 0;         // Unix s
  bool answered = false;  // or its caller has gone
  Run run = Run::kNone;
  bool started = false;      // it has been told to run, whatever came of it
  std::uint64_t wanted = 0;  // the notice by which its run wants a call
  std::string call_body;     // of that call, until it is over
};

class Book {
 public:
  Book(const peers::Ports& peers, Counters& counters) : peers_(peers), counters_(counters) {}

  OpenOp& enter(OpenOp op);
  OpenOp* find(OpId id);
  bool holds(OpId id) const { return open_.contains(id); }

  // The one answer; nothing is sent where it was given before or nobody waits any more.
  void ack(OpenOp& op, std::string_view result);
  void nack(OpenOp& op, double come_back_in, bool no_retry);
  void fail(OpenOp& op, peers::Failure why = peers::Failure::kPlain);
  void caller_gone(OpenOp& op);
  // Lets go of an op that is answered and whose run is over. To be called last: the reference ends here.
  void settle(OpenOp& op);
  // Each answer as a line of the log at level debug, with the version of the catalog that it was decided by.
  void log_answers(Logger& log) { log_ = &log; }
  // Told of each op that the book lets go of, before it does.
  void on_closed(std::function<void(const OpenOp&)> tell) { on_closed_ = std::move(tell); }

  // Ops of which the runtime has something: a run, running, paused or at a call. In the order of their ids.
  std::vector<OpId> at_runtime() const;

  std::size_t unanswered() const { return unanswered_; }
  std::size_t open() const { return open_.size(); }

 private:
  bool answer(OpenOp& op, Count as);

  const peers::Ports& peers_;
  Counters& counters_;
  Logger* log_ = nullptr;
  std::unordered_map<OpId, OpenOp> open_;
  std::function<void(const OpenOp&)> on_closed_;
  std::size_t unanswered_ = 0;
};

}  // namespace damsonspoke::stages

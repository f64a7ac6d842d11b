// What the peers tell the stages, in the users' words and units: no protocol's words, seconds, kilobytes. A peer
// knows these interfaces only, not who implements them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "decide.h"

namespace damsonspoke::peers {

// Where the answer to an op goes: a connection and a number on it.
struct Ticket {
  std::uint64_t connection = 0;
  std::uint64_t number = 0;
};

struct IncomingOp {
  OpId id = 0;
  int type = 0;
  std::uint32_t caller = 0;
  std::uint64_t key = 0;  // 0: none
  double held_kb = 0;
  double door = 0;   // Unix s, when it came to the machine; 0: not told
  double limit = 0;  // s from then on that its caller waits; 0: not told
  std::string body;
  Ticket ticket;
};

class CallerEvents {
 public:
  virtual ~CallerEvents() = default;
  virtual bool in_use(OpId id) const = 0;
  virtual void on_op_read(IncomingOp op) = 0;
  virtual void on_caller_gone(OpId id) = 0;
  virtual void on_check(Ticket ticket, bool wants_work) = 0;
};

class RuntimeEvents {
 public:
  virtual ~RuntimeEvents() = default;
  // On the first link: it has come up, cold or warm, this long ago.
  virtual void on_runtime_ready(bool cold, double ago) = 0;
  virtual void on_run_ended(OpId id, Outcome outcome, double spent, std::string_view result) = 0;
  virtual void on_call_wanted(OpId id, std::uint64_t notice, std::string_view body) = 0;
  virtual void on_verdict(std::uint64_t tag, bool good) = 0;
  // A start or a resumption was not carried out: nothing runs.
  virtual void on_not_started(OpId id) = 0;
};

class BelowEvents {
 public:
  virtual ~BelowEvents() = default;
  virtual void on_call_ended(OpId id, Outcome outcome, double spent, std::string_view reply) = 0;
};

}  // namespace damsonspoke::peers

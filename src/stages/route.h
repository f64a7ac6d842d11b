// Where each act of the module goes: the Host that the Decider is given.
#pragma once

#include <functional>
#include <string>

#include "decide.h"
#include "stages/book.h"
#include "stages/recall.h"
#include "stages/send.h"
#include "watch/logger.h"

namespace damsonspoke::stages {

class Route : public Host {
 public:
  using OnWakeAt = std::function<void(double time, std::uint64_t token)>;
  Route(Book& book, Send& send, Recall& recall, Counters& counters, Logger& log)
      : book_(book), send_(send), recall_(recall), counters_(counters), log_(log) {}
  void set_wakes(OnWakeAt on_wake_at) { on_wake_at_ = std::move(on_wake_at); }

  void start(OpId id) override;
  void interrupt(OpId id) override;
  void reject(OpId id, double come_back_in, bool no_retry) override;
  void fail(OpId id) override;
  void call(OpId id, double patience) override;
  void skip_call(OpId id) override;
  void remember(OpId id, double ttl) override;
  void forget(OpId id) override;
  void join(OpId id) override;
  void set_health(bool good, bool from_store) override { send_.health(good, from_store); }
  void announce(double value) override;
  void close_idle(double after) override { send_.close_idle(after); }
  void wake_at(double time, std::uint64_t token) override { on_wake_at_(time, token); }
  void log(const std::string& line) override { log_.info("module", "{}", line); }

 private:
  OpenOp* known(OpId id);

  Book& book_;
  Send& send_;
  Recall& recall_;
  Counters& counters_;
  Logger& log_;
  OnWakeAt on_wake_at_;
};

}  // namespace damsonspoke::stages

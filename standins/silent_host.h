// A host of decisions that does nothing; tests and loads override what they look at.
#pragma once

#include <string>

#include "decide.h"

namespace damsonspoke::standins {

class SilentHost : public Host {
 public:
  void start(OpId) override {}
  void interrupt(OpId) override {}
  void reject(OpId, double, bool) override {}
  void fail(OpId) override {}
  void call(OpId, double) override {}
  void skip_call(OpId) override {}
  void remember(OpId, double) override {}
  void forget(OpId) override {}
  void join(OpId) override {}
  void set_health(bool, bool) override {}
  void announce(double) override {}
  void close_idle(double) override {}
  void wake_at(double, std::uint64_t) override {}
  void log(const std::string&) override {}
};

}  // namespace damsonspoke::standins

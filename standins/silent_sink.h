// A decision sink that does nothing. Tests and benchmarks override the functions that they observe.
#pragma once

#include <string>

#include "admission/decision_sink.h"

namespace damsonspoke::standins {

class SilentSink : public DecisionSink {
 public:
  void start(RequestId) override {}
  void interrupt(RequestId) override {}
  void reject(RequestId, double, bool) override {}
  void fail(RequestId) override {}
  void call(RequestId, double) override {}
  void skip_call(RequestId) override {}
  void remember(RequestId, double) override {}
  void forget(RequestId) override {}
  void join(RequestId) override {}
  void set_health(bool, bool) override {}
  void publish_load_feedback(double) override {}
  void set_idle_timeout(double) override {}
  void schedule_wakeup(double, std::uint64_t) override {}
  void log(const std::string&) override {}
};

}  // namespace damsonspoke::standins

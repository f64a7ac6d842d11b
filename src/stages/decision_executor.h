// Where each act of the module goes: the DecisionSink that the AdmissionController is given.
#pragma once

#include <functional>
#include <string>

#include "admission/decision_sink.h"
#include "observability/logger.h"
#include "stages/command_sender.h"
#include "stages/in_flight_requests.h"
#include "stages/result_replay.h"

namespace damsonspoke::stages {

class DecisionExecutor : public DecisionSink {
 public:
  using OnWakeAt = std::function<void(double time, std::uint64_t token)>;
  DecisionExecutor(InFlightRequests& in_flight, CommandSender& send, ResultReplay& replay, Counters& counters,
                   Logger& log)
      : in_flight_(in_flight), sender_(send), replay_(replay), counters_(counters), log_(log) {}
  void set_wakes(OnWakeAt on_wake_at) { on_wake_at_ = std::move(on_wake_at); }

  void start(RequestId id) override;
  void interrupt(RequestId id) override;
  void reject(RequestId id, double retry_after, bool no_retry) override;
  void fail(RequestId id) override;
  void call(RequestId id, double patience) override;
  void skip_call(RequestId id) override;
  void remember(RequestId id, double ttl) override;
  void forget(RequestId id) override;
  void join(RequestId id) override;
  void set_health(bool good, bool from_store) override { sender_.health(good, from_store); }
  void publish_load_feedback(double value) override;
  void set_idle_timeout(double after) override { sender_.set_idle_timeout(after); }
  void schedule_wakeup(double time, std::uint64_t token) override { on_wake_at_(time, token); }
  void log(const std::string& line) override { log_.info("module", "{}", line); }

 private:
  InFlightRequest* known(RequestId id);

  InFlightRequests& in_flight_;
  CommandSender& sender_;
  ResultReplay& replay_;
  Counters& counters_;
  Logger& log_;
  OnWakeAt on_wake_at_;
};

}  // namespace damsonspoke::stages

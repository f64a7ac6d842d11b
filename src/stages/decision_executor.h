// Carries out the decisions of the admission controller.
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
  // Schedules the controller's timer. `time`: seconds on the monotonic clock.
  using ScheduleTimer = std::function<void(double time, std::uint64_t token)>;
  DecisionExecutor(InFlightRequests& in_flight, CommandSender& sender, ResultReplay& replay,
                   Counters& counters, Logger& log)
      : in_flight_(in_flight), sender_(sender), replay_(replay), counters_(counters), log_(log) {}
  // Must be called before the first decision.
  void set_timer(ScheduleTimer schedule_timer) { schedule_timer_ = std::move(schedule_timer); }

  void start(RequestId id) override;
  void interrupt(RequestId id) override;
  void reject(RequestId id, double retry_after, bool no_retry) override;
  void fail(RequestId id) override;
  void call(RequestId id, double timeout) override;
  void skip_call(RequestId id) override;
  void remember(RequestId id, double ttl) override;
  void forget(RequestId id) override;
  void join(RequestId id) override;
  void set_health(bool healthy, bool from_store) override { sender_.set_health(healthy, from_store); }
  void publish_load_feedback(double value) override;
  void set_idle_timeout(double seconds) override { sender_.set_idle_timeout(seconds); }
  void schedule_wakeup(double time, std::uint64_t token) override { schedule_timer_(time, token); }
  void log(const std::string& line) override { log_.info("admission", "{}", line); }

 private:
  InFlightRequest* find(RequestId id);

  InFlightRequests& in_flight_;
  CommandSender& sender_;
  ResultReplay& replay_;
  Counters& counters_;
  Logger& log_;
  ScheduleTimer schedule_timer_;
};

}  // namespace damsonspoke::stages

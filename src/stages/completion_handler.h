// Handles the ends of runs and of dependency calls: answers the caller, resumes the waiting run and notifies
// the admission controller.
#pragma once

#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "stages/admission_driver.h"
#include "stages/command_sender.h"
#include "stages/in_flight_requests.h"
#include "stages/request_intake.h"

namespace damsonspoke::stages {

class CompletionHandler : public peers::RuntimeEvents, public peers::DependencyEvents {
 public:
  CompletionHandler(InFlightRequests& in_flight, CommandSender& sender, ResultReplay& replay,
                    AdmissionDriver& admission, RequestIntake& intake, Preemption preemption,
                    Counters& counters)
      : in_flight_(in_flight),
        sender_(sender),
        replay_(replay),
        admission_(admission),
        intake_(intake),
        pauses_(preemption == Preemption::kPause),
        counters_(counters) {}

  void on_runtime_ready(bool is_cold, double seconds_ago) override;
  void on_run_ended(RequestId id, Outcome outcome, double run_seconds, std::string_view result) override;
  void on_call_requested(RequestId id, std::uint64_t notice, std::string_view body) override;
  void on_self_test_result(std::uint64_t tag, bool has_passed) override {
    intake_.on_self_test_result(tag, has_passed);
  }
  void on_not_started(RequestId id) override;
  void on_run_given_up(RequestId id) override;
  void on_runtime_restarted(const std::unordered_set<RequestId>& unsent) override;
  void on_call_ended(RequestId id, Outcome outcome, double call_seconds, std::string_view reply) override;

 private:
  InFlightRequests& in_flight_;
  CommandSender& sender_;
  ResultReplay& replay_;
  AdmissionDriver& admission_;
  RequestIntake& intake_;
  const bool pauses_;  // a stopped run keeps its progress and can be resumed
  Counters& counters_;
};

}  // namespace damsonspoke::stages

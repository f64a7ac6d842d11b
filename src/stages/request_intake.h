// The first stage of a request: passes requests from the request servers to the admission controller, and
// answers health checks.
#pragma once

#include <unordered_map>

#include "catalog/catalog.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "peers/ports.h"
#include "stages/admission_driver.h"
#include "stages/command_sender.h"
#include "stages/in_flight_requests.h"
#include "stages/result_replay.h"
#include "stages/startup_queue.h"

namespace damsonspoke::stages {

class RequestIntake : public peers::CallerEvents {
 public:
  // The stages to which requests are passed. They must outlive this object.
  struct Stages {
    InFlightRequests& in_flight;
    AdmissionDriver& admission;
    CommandSender& sender;
    ResultReplay& replay;
  };
  RequestIntake(net::Reactor& reactor, Stages stages, const peers::Ports& peers, const StartSettings& site,
                const catalog::Catalog& catalog, Counters& counters)
      : reactor_(reactor),
        stages_(stages),
        peers_(peers),
        site_(site),
        catalog_(catalog),
        counters_(counters) {}
  ~RequestIntake() override;

  RequestIntake(const RequestIntake&) = delete;
  RequestIntake& operator=(const RequestIntake&) = delete;

  [[nodiscard]] bool is_in_use(RequestId id) const override { return stages_.in_flight.contains(id); }
  [[nodiscard]] bool may_have_run(RequestId id) const override;
  [[nodiscard]] bool may_be_rejected(const peers::IncomingRequest& incoming) const override;
  void on_request_read(peers::IncomingRequest request) override;
  void on_caller_disconnected(RequestId id) override;
  // `requires_self_test`: the check requests a self test, which runs if the settings enable deep checks.
  void on_health_check(peers::ReplyAddress reply_to, bool requires_self_test) override;
  // Called on the runtime's first `ready`, after the admission controller has started: passes the requests of
  // the startup queue to admission.
  void on_runtime_ready();
  // Called when graceful shutdown begins: rejects the requests that still wait for the runtime.
  void on_drain();
  // The runtime's self test with this tag has ended. Unknown tags are ignored.
  void on_self_test_result(std::uint64_t tag, bool has_passed);

 private:
  // A health check that is waiting for a self test.
  struct PendingCheck {
    peers::ReplyAddress reply_to;
    net::Reactor::TimerId timeout;
  };
  [[nodiscard]] Request to_admission_request(const peers::IncomingRequest& incoming, double now) const;
  void count_read_delay(double seconds);
  InFlightRequest& add_in_flight(peers::IncomingRequest& incoming, double age, double now);
  void decide(Request request, peers::IncomingRequest& incoming, InFlightRequest& in_flight_request);
  void wait_or_reject(peers::IncomingRequest incoming, InFlightRequest& in_flight_request, double unix_now);
  void reject_not_ready(const peers::IncomingRequest& incoming, InFlightRequest& in_flight_request);
  void reject_waiting();

  net::Reactor& reactor_;
  Stages stages_;
  const peers::Ports& peers_;
  const StartSettings& site_;
  const catalog::Catalog& catalog_;
  Counters& counters_;
  StartupQueue startup_queue_;
  net::Reactor::TimerId startup_timer_;
  std::unordered_map<std::uint64_t, PendingCheck> pending_checks_;  // by the tag of the self test
  std::uint64_t next_tag_ = 1;
};

}  // namespace damsonspoke::stages

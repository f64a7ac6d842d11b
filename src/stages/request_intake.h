// The first stage: requests and checks as callers send them.
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

namespace damsonspoke::stages {

class RequestIntake : public peers::CallerEvents {
 public:
  struct Stages {
    InFlightRequests& in_flight;
    AdmissionDriver& admission;
    CommandSender& send;
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

  bool in_use(RequestId id) const override { return stages_.in_flight.holds(id); }
  bool has_started(RequestId id) const override;
  void on_request_read(peers::IncomingRequest request) override;
  void on_caller_gone(RequestId id) override;
  void on_check(peers::ReplyAddress ticket, bool wants_work) override;
  void on_verdict(std::uint64_t tag, bool good);

 private:
  struct Check {
    peers::ReplyAddress ticket;
    net::Reactor::TimerId patience;
  };

  net::Reactor& reactor_;
  Stages stages_;
  const peers::Ports& peers_;
  const StartSettings& site_;
  const catalog::Catalog& catalog_;
  Counters& counters_;
  std::unordered_map<std::uint64_t, Check> checks_;  // that wait for a self test, by its tag
  std::uint64_t next_check_ = 1;
};

}  // namespace damsonspoke::stages

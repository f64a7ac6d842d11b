// Sends commands to the peers: run commands to the runtime, calls to the dependency, and the health of this
// server to the callers and the registry.
#pragma once

#include <string_view>

#include "observability/counters.h"
#include "peers/ports.h"
#include "settings/settings.h"
#include "stages/in_flight_requests.h"

namespace damsonspoke::stages {

class CommandSender {
 public:
  CommandSender(const peers::Ports& peers, const StartSettings& site, Counters& counters)
      : peers_(peers), site_(site), counters_(counters) {}

  // ---- Runs.
  void start(InFlightRequest& request);
  void resume(InFlightRequest& request);
  // Does nothing if the run has not started or the runtime cannot stop runs.
  void stop(InFlightRequest& request);

  // ---- Dependency calls of a run.
  // `timeout`: seconds; 0: the timeout of the route.
  void call(InFlightRequest& request, double timeout);
  void cancel_call(const InFlightRequest& request) { peers_.dependency->cancel(request.id); }
  // Both resume the run: with the reply, or without the call.
  void deliver_reply(InFlightRequest& request, std::string_view reply);
  void skip_call(InFlightRequest& request);

  // ---- State of this server.
  // `from_store`: health checks are answered from this state, without a self test.
  void set_health(bool healthy, bool from_store);
  // The runtime became ready `seconds_ago` seconds ago.
  void start_warm_up(bool is_cold, double seconds_ago) {
    peers_.callers->start_warm_up(is_cold, seconds_ago);
  }
  // Begins graceful shutdown: removes this server from the registry and answers health checks as unhealthy.
  void drain();
  // Asks the callers to send no more requests. Takes a few milliseconds with thousands of connections.
  void announce_drain();
  void set_idle_timeout(double seconds) { peers_.callers->set_idle_timeout(seconds); }

  [[nodiscard]] bool healthy() const { return healthy_ && !draining_; }
  [[nodiscard]] bool answers_from_store() const { return from_store_; }

 private:
  const peers::Ports& peers_;
  const StartSettings& site_;
  Counters& counters_;
  bool healthy_ = false;
  bool from_store_ = false;
  bool draining_ = false;
};

}  // namespace damsonspoke::stages

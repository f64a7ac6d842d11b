// Sends commands to the peers: runs to the runtime, calls to the dependency, health to callers and registry.
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
  // Nothing where its run has not started, or the runtime can't stop runs.
  void stop(InFlightRequest& request);

  // ---- Dependency calls of a run.
  // `timeout`: s; 0: that of the route.
  void call(InFlightRequest& request, double timeout);
  void cancel_call(const InFlightRequest& request) { peers_.dependency->cancel(request.id); }
  // Lets the run go on with the reply, or without the call.
  void deliver_reply(InFlightRequest& request, std::string_view reply);
  void skip_call(InFlightRequest& request);

  // ---- State of this server.
  // `from_store`: health checks are answered without work.
  void set_health(bool healthy, bool from_store);
  // The runtime came up this long ago (s).
  void start_warm_up(bool is_cold, double seconds_ago) {
    peers_.callers->start_warm_up(is_cold, seconds_ago);
  }
  // Graceful shutdown: leaves the registry, and answers health checks as unhealthy.
  void drain();
  // Tells the callers; with thousands of connections this takes some milliseconds.
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

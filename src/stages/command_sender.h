// Puts what was decided on its way: commands to the runtime, calls below, health to callers and roster.
#pragma once

#include <string>
#include <vector>

#include "observability/counters.h"
#include "peers/ports.h"
#include "settings/settings.h"
#include "stages/in_flight_requests.h"

namespace damsonspoke::stages {

class CommandSender {
 public:
  CommandSender(const peers::Ports& peers, const StartSettings& site, Counters& counters)
      : peers_(peers), site_(site), counters_(counters) {}

  void start(InFlightRequest& request);
  void resume(InFlightRequest& request);
  void stop(InFlightRequest& request);
  void call(InFlightRequest& request, double patience);
  void give(InFlightRequest& request, std::string_view reply);
  void omit(InFlightRequest& request);
  void give_up_call(const InFlightRequest& request) { peers_.dependency->cancel(request.id); }
  void health(bool good, bool from_store);
  void began(bool cold, double ago) { peers_.callers->began(cold, ago); }
  void leaving();
  void set_idle_timeout(double after) { peers_.callers->set_idle_timeout(after); }

  bool good() const { return good_ && !leaving_; }
  bool from_store() const { return from_store_; }

 private:
  const peers::Ports& peers_;
  const StartSettings& site_;
  Counters& counters_;
  bool good_ = false, from_store_ = false, leaving_ = false;
};

}  // namespace damsonspoke::stages

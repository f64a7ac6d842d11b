// An instance's part in the fleet's membership: what it tells of itself, and operators' questions about it.
// Nothing at all where the operators' file does not switch it on.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/server.h"
#include "peers/members/transport.h"
#include "settings/config.h"
#include "tier/planner_discovery.h"

namespace damsonspoke {

class Membership {
 public:
  // What changes of this instance from moment to moment.
  struct Now {
    double open = 0, most = 1;  // requests, and how many it would hold at most
  };
  // Throws std::exception with one plain line where an address can't be used.
  Membership(net::Reactor& reactor, const Choice& choice, std::string role, std::function<Now()> now,
             Counters& counters, Logger& log);
  ~Membership();
  bool on() const { return members_ != nullptr; }
  void answer_questions(control::Server& control);
  void begin(std::uint16_t port);  // on which it serves
  void leave();
  void reloaded(const Choice& choice);  // a new generation of its configuration is in force
  void report();
  // Those that serve as planners, for a forwarder; and when to ask again.
  std::vector<tier::PlannerStatus> planners() const;
  std::function<void()> on_change;

 private:
  void tell();

  net::Reactor& reactor_;
  const std::string role_;
  const std::function<Now()> now_;
  MembersOptions options_;
  std::unique_ptr<peers::MembershipTransport> members_;
  members::LoadReport told_;
  std::string listen_host_;
  net::Reactor::TimerId timer_;
  bool leaving_ = false;
};

// One life of a process, later ones higher: by the Unix clock, and drawn within its millisecond.
std::uint64_t draw_life();

}  // namespace damsonspoke

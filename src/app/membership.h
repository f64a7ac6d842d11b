// Membership of this instance in the fleet: publishes its load report, answers the operators' control query
// and gives the planners that members report. It does nothing unless the operators' file enables membership.
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
  // The current load of this instance.
  struct Load {
    double open_requests = 0;
    double max_open_requests = 1;
  };
  // `role`: "relay", "planner" or "forwarder". Throws std::exception with a message of one line when an
  // address can't be used.
  Membership(net::Reactor& reactor, const ProcessConfig& process_config, std::string role,
             std::function<Load()> load, Counters& counters, Logger& log);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Registers the control query `members`.
  void register_command(control::Server& control);
  // `service_port`: the port on which this instance serves requests.
  void start(std::uint16_t service_port);
  void leave();
  // A new generation of the configuration is in effect.
  void on_configuration_reloaded(const ProcessConfig& process_config);
  // Brings the counters up to date.
  void report();
  // The members that serve as planners, for a forwarder.
  [[nodiscard]] std::vector<tier::PlannerStatus> planners() const;
  // Called when members have changed, and with each load report.
  std::function<void()> on_change;

 private:
  void publish_load_report();

  net::Reactor& reactor_;
  const std::string role_;
  const std::function<Load()> load_;
  MembersOptions options_;
  std::unique_ptr<peers::MembershipTransport> transport_;  // null if membership is off
  members::LoadReport load_report_;
  std::string listen_host_;
  net::Reactor::TimerId timer_;
  bool is_leaving_ = false;
};

// An epoch for a new process: the Unix time in milliseconds, followed by 12 random bits, so that a process
// that starts later has a higher one.
[[nodiscard]] std::uint64_t new_member_epoch();

}  // namespace damsonspoke

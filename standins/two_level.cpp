#include "two_level.h"

#include <fmt/format.h>

namespace damsonspoke::standins {

TwoLevel::TwoLevel(const std::string& binary, SiteSpec site, Runtime::Options runtime, Callers::Options load,
                   int forwarder_count, int planner_count, const std::string& forwarding,
                   const std::vector<std::vector<std::string>>& planner_command_prefixes)
    : callers(loop, journal, std::move(load)), site_(std::move(site)) {
  std::string addresses;
  for (int i = 0; i < planner_count; ++i) {
    SiteSpec spec = site_;
    spec.command = "plan";
    spec.name = fmt::format("p{}", i + 1);
    if (!planner_command_prefixes.empty())
      spec.command_prefix =
          planner_command_prefixes[static_cast<std::size_t>(i) % planner_command_prefixes.size()];
    planners.push_back(std::make_unique<Server>(loop, journal, callers, binary, spec, runtime));
    addresses += ' ' + planners.back()->address();
  }
  for (int i = 0; i < forwarder_count; ++i) {
    SiteSpec spec = site_;
    spec.command = "forward";
    spec.name = fmt::format("f{}", i + 1);
    spec.operators += fmt::format("forward\n    planners{}\n{}", addresses, forwarding);
    forwarders.push_back(std::make_unique<Server>(loop, journal, callers, binary, spec, runtime, i));
  }
}

bool TwoLevel::start() {
  for (const auto& planner : planners) {
    if (!planner->start()) return false;
  }
  for (const auto& forwarder : forwarders) {
    if (!forwarder->start()) return false;
  }
  const auto linked = [&] {
    for (const auto& forwarder : forwarders) {
      if (!forwarder->registry.is_listed()) return false;
    }
    return true;
  };
  return loop.run_until(linked, 20);  // long enough for dozens of processes on a busy machine
}

bool TwoLevel::settle(double timeout_seconds) {
  callers.set_load_enabled(false);
  return loop.run_until(
      [this] { return callers.attempts_in_flight() == 0 && callers.unfinished_tasks() == 0; },
      timeout_seconds);
}

bool TwoLevel::shut_down() {
  bool has_shut_down = true;
  for (auto* level : {&forwarders, &planners}) {
    for (const auto& server : *level) server->send_shutdown_notice();
    for (const auto& server : *level) has_shut_down &= server->wait_for_end();
  }
  return has_shut_down;
}

RuleLimits TwoLevel::limits() const {
  RuleLimits limits = Fleet::limits_of(site_);
  limits.survivable_concurrency *=
      static_cast<int>(planners.size());  // the journal counts all runtimes together
  return limits;
}

}  // namespace damsonspoke::standins

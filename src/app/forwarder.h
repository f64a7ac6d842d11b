// A forwarder process: passes requests of callers on to planners. Creates its peers and stages and runs them
// from start-up to the end of the graceful shutdown.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/membership.h"
#include "catalog/catalog.h"
#include "control/server.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/json_rpc/server.h"
#include "peers/registry/reporter.h"
#include "peers/tier/planner_client.h"
#include "settings/config.h"
#include "stages/request_forwarder.h"

namespace damsonspoke {

class Forwarder {
 public:
  // Reads the configuration again; throws std::exception with a message of one line if it is invalid.
  using ConfigLoader = std::function<ProcessConfig()>;
  // Throws std::exception with a message of one line if an address can't be used.
  Forwarder(const ProcessConfig& process_config, ConfigLoader load_config, Logger& log);
  // Serves until a graceful shutdown is complete. Returns the exit status.
  int run();

 private:
  void begin_shutdown();
  void reload();
  void check_shutdown();
  void log_counters();
  void update_planners();

  Config config_;
  OperatorOptions options_;
  const ConfigLoader load_config_;
  Logger& log_;
  Counters counters_;
  net::Reactor reactor_;
  const std::unique_ptr<catalog::Catalog> catalog_;
  stages::RequestForwarder::Ports ports_;
  stages::RequestForwarder request_forwarder_;
  peers::JsonRpcServer caller_server_;
  peers::PlannerClient planner_client_;
  peers::RegistryReporter registry_;
  std::unique_ptr<control::Server> control_;  // null unless operators configure it
  Membership membership_;                     // inactive unless operators configure it
  tier::PlannerDiscovery discovery_;
  std::vector<std::string> current_planners_;
  double shutdown_started_at_ = -1;  // monotonic s; < 0: no shutdown is in progress
  bool is_listening_ = true;
};

// A random number that identifies one incarnation of a process; never 0.
std::uint64_t random_epoch();

}  // namespace damsonspoke

// A backend or planner process: creates its peers and stages, connects them, and runs them from start-up to
// the end of the graceful shutdown.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "app/catalog_watch.h"
#include "app/membership.h"
#include "conns/connection_quota.h"
#include "control/server.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ajp/dependency_client.h"
#include "peers/ajp/server.h"
#include "peers/connection_admission.h"
#include "peers/dependency/client.h"
#include "peers/ports.h"
#include "peers/registry/reporter.h"
#include "peers/runtime/client.h"
#include "settings/config.h"
#include "stages/admission_driver.h"
#include "stages/command_sender.h"
#include "stages/completion_handler.h"
#include "stages/decision_executor.h"
#include "stages/in_flight_requests.h"
#include "stages/request_intake.h"
#include "stages/result_replay.h"
#include "stages/statistics_persistence.h"

namespace damsonspoke {

// kBackend serves requests of callers, kPlanner those of forwarders.
enum class Role { kBackend, kPlanner };

class Backend {
 public:
  // Reads the configuration again; throws std::exception with a message of one line if it is invalid.
  using ConfigLoader = std::function<ProcessConfig()>;
  // Throws std::exception with a message of one line if an address can't be used.
  Backend(Role role, const ProcessConfig& process_config, ConfigLoader load_config, Logger& log);
  // Serves until a graceful shutdown is complete. Returns the exit status.
  int run();
  std::uint16_t port() const { return request_server_->port(); }

 private:
  void begin_shutdown();
  void reload();
  void check_shutdown();
  void answer_in_flight_requests();
  void finish_shutdown();
  std::unique_ptr<peers::RequestServer> make_request_server(Role role);
  void make_connection_admission(int connections, const std::vector<double>& guaranteed_shares);
  void start_control_server();
  void log_counters();

  Config config_;
  OperatorOptions options_;
  const ConfigLoader load_config_;
  Logger& log_;
  Counters counters_;
  net::Reactor reactor_;
  CatalogWatch catalog_;
  peers::Ports ports_;
  stages::InFlightRequests in_flight_;
  stages::CommandSender sender_;
  stages::ResultReplay replay_;
  stages::StatisticsPersistence statistics_;
  stages::DecisionExecutor executor_;
  stages::AdmissionDriver admission_;
  stages::RequestIntake intake_;
  stages::CompletionHandler completion_handler_;
  std::unique_ptr<conns::ConnectionQuota>
      connection_quota_;                      // set if there are two listeners and no connection admission
  std::unique_ptr<control::Server> control_;  // null unless operators configure it
  Membership membership_;                     // inactive unless operators configure it
  std::unique_ptr<peers::ConnectionAdmission>
      connection_admission_;  // null unless operators enable it; must outlive request_server_
  // Owned by request_server_; null without AJP. Declared before request_server_, whose initializer sets it.
  peers::AjpServer* ajp_server_ = nullptr;
  std::unique_ptr<peers::RequestServer> request_server_;
  peers::RuntimeClient runtime_;
  peers::DependencyClient dependency_;
  std::unique_ptr<peers::AjpDependencyClient>
      ajp_dependency_;  // replaces dependency_ if operators configure AJP for it
  peers::RegistryReporter registry_;
  double shutdown_started_at_ = -1;  // monotonic s; < 0: no shutdown is in progress
  bool is_listening_ = true;
};

}  // namespace damsonspoke

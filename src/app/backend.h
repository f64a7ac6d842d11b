// One backend: its peers and stages put together, and its life from the first link to the last answer.
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

enum class Role { kRelay, kPlanner };  // what stands in front of it: callers, or forwarders

class Backend {
 public:
  // Reads the configuration anew; throws std::exception with one plain line where it can't be used.
  using Reread = std::function<Choice()>;
  // Throws std::exception with one plain line where an address can't be used.
  Backend(Role role, const Choice& choice, Reread reread, Logger& log);
  // Serves until the notice to leave has been followed to its end. Returns the exit status.
  int run();
  std::uint16_t port() const { return front_->port(); }

 private:
  void leave();
  void reload();
  void look_at_leaving();
  void answer_unanswered();
  void stop();
  std::unique_ptr<peers::RequestServer> make_front(Role role);
  void make_connection_admission(int connections, const std::vector<double>& floors);
  void listen_for_questions();
  void report();

  Config config_;
  OperatorOptions options_;
  const Reread reread_;
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
  std::unique_ptr<conns::ConnectionQuota> share_;  // with two fronts
  std::unique_ptr<control::Server> control_;       // where operators have one
  Membership membership_;                          // nothing where operators have none
  std::unique_ptr<peers::ConnectionAdmission>
      connection_admission_;         // where operators have one; before the fronts
  peers::AjpServer* ajp_ = nullptr;  // one of them, where there is one; before who sets it
  std::unique_ptr<peers::RequestServer> front_;
  peers::RuntimeClient runtime_;
  peers::DependencyClient dependency_;
  std::unique_ptr<peers::AjpDependencyClient> ajp_below_;  // in its place, where operators say so
  peers::RegistryReporter registry_;
  double leaving_since_ = -1;
  bool listening_ = true;
};

}  // namespace damsonspoke

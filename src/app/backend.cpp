#include "app/backend.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <stdexcept>

#include "app/deferred_signals.h"
#include "app/forwarder.h"
#include "app/idempotency_key_options.h"
#include "app/limits.h"
#include "app/shutdown_timing.h"
#include "peers/combined_server.h"
#include "peers/json_rpc/server.h"
#include "peers/tier/forwarder_server.h"

namespace damsonspoke {
namespace {

// The number of connections to the dependency is limited to the descriptors of the process divided by this.
constexpr int kDescriptorsPerDependencyConnection = 8;

// Shares of the memory limit. The rest is for the program itself and for requests in flight.
constexpr double kDependencyMemoryShare = 0.1;  // buffers for incomplete calls and replies
constexpr double kRetainedAnswersMemoryShare =
    0.03;                                           // a planner's answers that a forwarder may request again
constexpr double kRuntimeOutputMemoryShare = 0.05;  // commands that the runtime has not read yet

// Clients in the response to the control query `conns`.
constexpr long kDefaultReportedClients = 20;
constexpr long kMaxReportedClients = 1000;

// Requests in flight per core that count as full load in the load report to members.
constexpr double kMaxInFlightPerCore = 8;

std::size_t max_dependency_connections(const Limits& limits) {
  const std::size_t max_by_memory =
      memory_share_bytes(limits, kDependencyMemoryShare) /
      (peers::DependencyClient::kMaxInputBytes + peers::DependencyClient::kMaxOutputBytes);
  return std::clamp<std::size_t>(
      max_by_memory, 1,
      static_cast<std::size_t>(max_descriptors(limits) / kDescriptorsPerDependencyConnection));
}

// AJP connections have buffers of other sizes than those of the platform's protocol, in the same share of
// memory.
std::size_t max_ajp_dependency_connections(const Limits& limits, const AjpOptions& ajp) {
  const std::size_t bytes_per_connection =
      peers::AjpDependencyClient::max_input_bytes(ajp) + peers::AjpDependencyClient::kMaxOutputBytes;
  return std::clamp<std::size_t>(memory_share_bytes(limits, kDependencyMemoryShare) / bytes_per_connection, 1,
                                 max_dependency_connections(limits));
}

int max_caller_connections(const Limits& limits, std::size_t input_bytes) {
  return max_inbound_connections(limits, static_cast<int>(max_dependency_connections(limits)), input_bytes);
}

}  // namespace

// All listeners for callers share one ConnectionAdmission. Creates none unless operators enable it.
void Backend::make_connection_admission(int connections, const std::vector<double>& guaranteed_shares) {
  if (!options_.connection_admission.enabled) return;
  std::vector<double> priority_weight;
  for (const Route& route : config_.site.admission.routes) priority_weight.push_back(route.priority_weight);
  connection_admission_ = std::make_unique<peers::ConnectionAdmission>(
      reactor_, options_.connection_admission, static_cast<std::size_t>(connections), guaranteed_shares,
      std::move(priority_weight), counters_, log_);
}

// Creates the server that reads requests: of callers, by one or two protocols, or of forwarders at a planner.
std::unique_ptr<peers::RequestServer> Backend::make_request_server(Role role) {
  const StartSettings& site = config_.site;
  const std::size_t output_bytes = memory_share_bytes(config_.limits, kOutputMemoryShare);
  peers::CallerEvents& events = intake_;
  if (role == Role::kPlanner) {
    const tier::SlowStartOptions slow_start{site.admission.cores, site.admission.slow_start_speed,
                                            site.admission.slow_start_time};
    peers::ForwarderServer::Self self{config_.name,       random_epoch(),   slow_start,
                                      config_.stop_after, site.route_names, {}};
    for (const Route& route : site.admission.routes) self.priority_weight.push_back(route.priority_weight);
    const int max_connections =
        max_caller_connections(config_.limits, peers::ForwarderServer::kMaxInputBytes);
    return std::make_unique<peers::ForwarderServer>(
        reactor_, config_.listen, std::move(self),
        peers::ForwarderServer::Limits{max_connections, output_bytes,
                                       memory_share_bytes(config_.limits, kRetainedAnswersMemoryShare)},
        events, counters_, log_);
  }
  const peers::IdempotencyKeyOptions keys = idempotency_key_options(options_.results);
  const AjpOptions& ajp = options_.ajp;
  if (ajp.listen.empty()) {
    const int max_connections = max_caller_connections(config_.limits, peers::JsonRpcServer::kMaxInputBytes);
    make_connection_admission(max_connections, {1});
    conns::ConnectionQuota* quota = connection_admission_ ? &connection_admission_->quota() : nullptr;
    return std::make_unique<peers::JsonRpcServer>(
        reactor_, config_.listen, catalog_.catalog(), keys,
        peers::ListenerLimits{max_connections, output_bytes, quota, 0, connection_admission_.get()}, events,
        counters_, log_);
  }
  const std::size_t input_bytes =
      std::max(peers::JsonRpcServer::kMaxInputBytes, peers::AjpServer::max_input_bytes(ajp));
  const int max_connections = max_caller_connections(config_.limits, input_bytes);
  const std::vector<double> guaranteed_shares{std::max(ajp.share, 0.5), ajp.share};
  make_connection_admission(max_connections, guaranteed_shares);
  if (!connection_admission_)
    connection_quota_ = std::make_unique<conns::ConnectionQuota>(static_cast<std::size_t>(max_connections),
                                                                 guaranteed_shares);
  conns::ConnectionQuota& quota = connection_admission_ ? connection_admission_->quota() : *connection_quota_;
  auto json_rpc_server = std::make_unique<peers::JsonRpcServer>(
      reactor_, config_.listen, catalog_.catalog(), keys,
      peers::ListenerLimits{max_connections, output_bytes / 2, &quota, 0, connection_admission_.get()},
      events, counters_, log_);
  peers::AjpSite ajp_site{
      site.route_names, routes_requiring_key(config_, options_.results), {}, keys.max_bytes, {}};
  for (std::size_t i = 0; i < site.admission.routes.size(); ++i) {
    ajp_site.timeouts.push_back(site.admission.routes[i].timeout);
    ajp_site.relative_weights.push_back(catalog_.catalog().relative_priority_weight(static_cast<int>(i)));
  }
  auto ajp_server = std::make_unique<peers::AjpServer>(
      reactor_, std::move(ajp_site), random_epoch(), ajp,
      peers::ListenerLimits{max_connections, output_bytes / 2, &quota, 1, connection_admission_.get()},
      events, counters_, log_);
  ajp_server_ = ajp_server.get();
  return std::make_unique<peers::CombinedServer>(std::move(json_rpc_server), std::move(ajp_server));
}

Backend::Backend(Role role, const ProcessConfig& process_config, ConfigLoader load_config, Logger& log)
    : config_(process_config.config),
      options_(process_config.options),
      load_config_(std::move(load_config)),
      log_(log),
      catalog_(reactor_, process_config, counters_, log),
      in_flight_(ports_, counters_),
      sender_(ports_, config_.site, counters_),
      replay_(reactor_, {in_flight_, sender_, admission_}, config_.site, catalog_.catalog(), options_.results,
              counters_, log_),
      statistics_(reactor_, admission_, config_.site, config_.name, options_.statistics, counters_, log_),
      executor_(in_flight_, sender_, replay_, counters_, log_),
      admission_(reactor_, config_.site, catalog_.catalog(), config_.seed, executor_, statistics_, ports_,
                 counters_),
      intake_(reactor_, {in_flight_, admission_, sender_, replay_}, ports_, config_.site, catalog_.catalog(),
              counters_),
      completion_handler_(in_flight_, sender_, replay_, admission_, intake_,
                          config_.site.admission.preemption, counters_),
      membership_(
          reactor_, process_config, role == Role::kPlanner ? "planner" : "relay",
          [this] {
            return Membership::Load{static_cast<double>(in_flight_.unanswered()),
                                    kMaxInFlightPerCore * static_cast<double>(config_.site.admission.cores)};
          },
          counters_, log_),
      request_server_(make_request_server(role)),
      runtime_(reactor_, config_.runtime, memory_share_bytes(config_.limits, kRuntimeOutputMemoryShare),
               config_.site.gauges, completion_handler_, counters_, log_),
      dependency_(reactor_, options_.ajp.dependency.empty() ? config_.dependency : std::string(),
                  max_dependency_connections(config_.limits), completion_handler_, counters_, log_),
      registry_(reactor_, config_.registry, config_.name, counters_) {
  ports_ = {request_server_.get(), &runtime_, &dependency_, &registry_};
  if (!options_.ajp.dependency.empty()) {
    ajp_dependency_ = std::make_unique<peers::AjpDependencyClient>(
        reactor_, options_.ajp, max_ajp_dependency_connections(config_.limits, options_.ajp),
        completion_handler_, counters_, log_);
    ports_.dependency = ajp_dependency_.get();
  }
  in_flight_.log_answers(log_);
  start_control_server();
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the file size limit then returns EFBIG instead of ending the process.
  std::signal(SIGXFSZ, SIG_IGN);
  reactor_.on_signal(SIGTERM, [this] { begin_shutdown(); });
  reactor_.on_signal(SIGINT, [this] { begin_shutdown(); });
  reactor_.on_signal(SIGHUP, [this] { reload(); });
  reactor_.on_signal(SIGUSR1, [this] { log_counters(); });
}

void Backend::start_control_server() {
  if (options_.control.folder.empty()) return;
  control_ = std::make_unique<control::Server>(reactor_, options_.control.folder, log_);
  membership_.register_command(*control_);
  catalog_.register_command(*control_);
  control_->add_handler("conns", [this](const std::vector<std::string>& tokens) {
    if (!connection_admission_)
      throw std::runtime_error("connection admission is off: connections are not counted per client");
    const long max_clients = tokens.size() > 1 ? std::atol(tokens[1].c_str()) : kDefaultReportedClients;
    return connection_admission_->report(
        static_cast<std::size_t>(std::clamp(max_clients, 0L, kMaxReportedClients)));
  });
}

int Backend::run() {
  const std::string host = config_.listen.substr(0, config_.listen.rfind(':'));
  log_.info("backend", "backend {} listens on {}:{}", config_.name, host, request_server_->port());
  if (ajp_server_ != nullptr)
    log_.info("backend", "backend accepts AJP callers on port {}", ajp_server_->port());
  statistics_.wait_for_record();
  if (connection_admission_) connection_admission_->load_known_clients();
  membership_.start(request_server_->port());
  deliver_signals();
  reactor_.run();
  defer_signals();
  log_counters();
  return 0;
}

void Backend::log_counters() {
  replay_.update_counters();
  membership_.report();
  catalog_.report();
  log_.write_raw(counters_.report());
}

// Applies a new configuration while requests are served; each peer moves its own connections to a new
// address. If the file is missing, truncated or invalid, the previous configuration stays in effect
// unchanged.
void Backend::reload() {
  catalog_.poll();
  ProcessConfig process_config;
  try {
    process_config = load_config_();
  } catch (const std::exception& error) {
    return log_.error("backend", "new configuration rejected, previous one stays: {}", error.what());
  }
  const Config& next = process_config.config;
  log_.info("backend", "new configuration: runtime {}, dependency {}, registry {}", next.runtime,
            next.dependency, next.registry);
  if (next.listen != config_.listen || next.name != config_.name)
    log_.warn("backend",
              "a changed name or listening address takes effect at the next start of the backend only");
  if (next.site.route_names != config_.site.route_names ||
      next.site.tenant_names != config_.site.tenant_names)
    log_.warn("backend", "changed routes or tenants of the settings take effect at the next start only");
  runtime_.move_to(config_.runtime = next.runtime);
  config_.dependency = next.dependency;
  if (ajp_dependency_ == nullptr) {
    dependency_.move_to(config_.dependency);
  } else if (!process_config.options.ajp.dependency.empty()) {
    ajp_dependency_->move_to(process_config.options.ajp);
  }
  registry_.move_to(config_.registry = next.registry);
  replay_.reconfigure(process_config.options.results);
  if (ajp_server_ != nullptr) ajp_server_->reconfigure(process_config.options.ajp);
  if (connection_admission_) connection_admission_->reconfigure(process_config.options.connection_admission);
  membership_.on_configuration_reloaded(process_config);
}

void Backend::begin_shutdown() {
  if (shutdown_started_at_ >= 0) return;
  shutdown_started_at_ = net::monotonic_now();
  const std::size_t unanswered = in_flight_.unanswered();
  // The grace period counts from the signal, so it is started before the steps that take time.
  sender_.drain();
  intake_.on_drain();
  admission_.on_drain(config_.stop_after);
  replay_.on_drain(config_.stop_after - kAnswerResultsMarginSeconds);
  log_.info("backend", "backend draining: {} requests in flight, {} connections open", unanswered,
            request_server_->connections());
  sender_.announce_drain();
  statistics_.on_drain();
  if (connection_admission_) connection_admission_->save_known_clients();
  membership_.leave();
  check_shutdown();
}

// Callers learn late that this backend shuts down, and requests on a connection that the kernel has already
// accepted must be answered by this process. So it accepts connections and answers until shortly before the
// kill.
void Backend::check_shutdown() {
  const double elapsed = net::monotonic_now() - shutdown_started_at_;
  if (!is_listening_ && elapsed >= config_.stop_after - kCloseConnectionsMarginSeconds)
    request_server_->close_idle_connections();
  const bool is_idle = in_flight_.unanswered() == 0 && request_server_->connections() == 0;
  const bool is_done = is_idle && !request_server_->is_listening() && reactor_.lingering_closes().empty();
  const bool is_grace_over = elapsed > config_.site.admission.drain_grace;
  if (is_listening_ && (elapsed >= config_.stop_after - kStopListeningMarginSeconds ||
                        (is_idle && is_grace_over) || !admission_.is_started())) {
    is_listening_ = false;
    request_server_->stop_listening();
  } else if (!is_listening_ && (is_done || elapsed >= config_.stop_after - kStopMarginSeconds)) {
    return finish_shutdown();
  }
  reactor_.after(kShutdownCheckIntervalSeconds, [this] { check_shutdown(); });
}

// Answers the requests that are still in flight when the process ends, because nothing later would: for
// instance a duplicate that was read in this event-loop iteration and waits for its original request, or a
// request whose result is still being written to the store.
void Backend::answer_in_flight_requests() {
  replay_.answer_pending_results();
  for (const RequestId id : in_flight_.unanswered_ids()) in_flight_.fail(*in_flight_.find(id));
}

void Backend::finish_shutdown() {
  answer_in_flight_requests();
  // Connections whose last request has just been answered are read once more and closed in order. Requests
  // that this reads are answered too.
  if (request_server_->connections() > 0) request_server_->close_idle_connections();
  answer_in_flight_requests();
  log_.info("backend", "backend shutdown complete after {:.2f} s; {} requests unanswered",
            net::monotonic_now() - shutdown_started_at_, in_flight_.unanswered());
  reactor_.stop();
}

}  // namespace damsonspoke

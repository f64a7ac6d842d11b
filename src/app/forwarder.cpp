#include "app/forwarder.h"

#include <csignal>
#include <random>

#include "app/deferred_signals.h"
#include "app/idempotency_key_options.h"
#include "app/limits.h"
#include "app/shutdown_timing.h"
#include "net/address.h"

namespace damsonspoke {
namespace {

// Shares of the memory limit.
constexpr double kPlannerOutputMemoryShare = 0.15;  // requests that planners have not read yet
constexpr double kRequestMemoryShare = 0.2;         // requests in flight
constexpr double kKeyMemoryShare = 0.02;            // keys that may have run

constexpr int kMaxPlanners = 64;  // the limit of the directive `planners`

// The address that connections to planners are opened from if members report the planners: the one on which
// this instance receives messages of members. Empty: the system chooses.
std::string planner_source_address(const OperatorOptions& options) {
  if (!options.forward.from_members || !options.members.enabled()) return {};
  return net::parse_address(options.members.bind).host().toString();
}

}  // namespace

std::uint64_t random_epoch() {
  std::random_device device;
  std::uint64_t epoch = 0;
  while (epoch == 0) epoch = static_cast<std::uint64_t>(device()) << 32 | device();
  return epoch;
}

Forwarder::Forwarder(const ProcessConfig& process_config, ConfigLoader load_config, Logger& log)
    : config_(process_config.config),
      options_(process_config.options),
      load_config_(std::move(load_config)),
      log_(log),
      catalog_(catalog::Catalog::from_settings(config_.site, {}, random_epoch())),
      request_forwarder_(
          reactor_, ports_, config_.site,
          {options_.forward, options_.results, memory_share_bytes(config_.limits, kRequestMemoryShare),
           memory_share_bytes(config_.limits, kKeyMemoryShare)},
          random_epoch(), counters_, log_),
      caller_server_(
          reactor_, config_.listen, *catalog_, idempotency_key_options(options_.results),
          {max_inbound_connections(config_.limits, kMaxPlanners, peers::JsonRpcServer::kMaxInputBytes),
           memory_share_bytes(config_.limits, kOutputMemoryShare)},
          request_forwarder_, counters_, log_),
      planner_client_(
          reactor_,
          {config_.name, random_epoch(), config_.site.route_names, planner_source_address(options_)},
          memory_share_bytes(config_.limits, kPlannerOutputMemoryShare), request_forwarder_, counters_, log_),
      registry_(reactor_, config_.registry, config_.name, counters_),
      membership_(
          reactor_, process_config, "forwarder",
          [this] {
            return Membership::Load{static_cast<double>(request_forwarder_.in_flight()),
                                    static_cast<double>(options_.forward.queue_length)};
          },
          counters_, log_),
      discovery_({}),
      current_planners_(options_.forward.planners) {
  ports_ = {&caller_server_, &planner_client_, &registry_};
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the file size limit then returns EFBIG instead of ending the process.
  std::signal(SIGXFSZ, SIG_IGN);
  reactor_.on_signal(SIGTERM, [this] { begin_shutdown(); });
  reactor_.on_signal(SIGINT, [this] { begin_shutdown(); });
  reactor_.on_signal(SIGHUP, [this] { reload(); });
  reactor_.on_signal(SIGUSR1, [this] { log_counters(); });
  membership_.on_change = [this] { update_planners(); };
  if (options_.control.folder.empty()) return;
  control_ = std::make_unique<control::Server>(reactor_, options_.control.folder, log_);
  membership_.register_command(*control_);
}

// Uses the planners that members report in addition to those that the operators list.
void Forwarder::update_planners() {
  if (!options_.forward.from_members || shutdown_started_at_ >= 0) return;
  const std::vector<std::string> planners =
      discovery_.update(options_.forward.planners, membership_.planners(), net::monotonic_now());
  if (planners == current_planners_) return;
  current_planners_ = planners;
  request_forwarder_.set_planners(planners);
  log_.info("forwarder", "planners reported by members have changed: {} planners in use", planners.size());
}

int Forwarder::run() {
  const std::string host = config_.listen.substr(0, config_.listen.rfind(':'));
  request_forwarder_.start();
  membership_.start(caller_server_.port());
  log_.info("forwarder", "forwarder {} listens on {}:{}", config_.name, host, caller_server_.port());
  deliver_signals();
  reactor_.run();
  defer_signals();
  log_counters();
  return 0;
}

void Forwarder::log_counters() {
  request_forwarder_.update_counters();
  membership_.report();
  log_.write_raw(counters_.report());
}

// Applies a new configuration while requests are forwarded. If it is invalid, the previous one stays in
// effect.
void Forwarder::reload() {
  ProcessConfig process_config;
  try {
    process_config = load_config_();
  } catch (const std::exception& error) {
    return log_.error("forwarder", "new forwarder configuration rejected, previous one stays: {}",
                      error.what());
  }
  const Config& next = process_config.config;
  if (next.listen != config_.listen || next.name != config_.name)
    log_.warn("forwarder",
              "a changed name or listening address takes effect at the next start of the forwarder only");
  registry_.move_to(config_.registry = next.registry);
  options_.forward.planners = process_config.options.forward.planners;
  options_.forward.from_members = process_config.options.forward.from_members;
  current_planners_ = options_.forward.planners;
  if (options_.forward.from_members)
    current_planners_ =
        discovery_.update(options_.forward.planners, membership_.planners(), net::monotonic_now());
  request_forwarder_.set_planners(current_planners_);
  membership_.on_configuration_reloaded(process_config);
  log_.info("forwarder", "new configuration: {} planners", options_.forward.planners.size());
}

void Forwarder::begin_shutdown() {
  if (shutdown_started_at_ >= 0) return;
  shutdown_started_at_ = net::monotonic_now();
  log_.info("forwarder", "forwarder draining: {} requests in flight, {} connections open",
            request_forwarder_.in_flight(), caller_server_.connections());
  request_forwarder_.drain(config_.stop_after);
  membership_.leave();
  check_shutdown();
}

// As in a backend, requests on a connection that the kernel has already accepted must be answered by this
// process, so it accepts connections until shortly before the kill.
void Forwarder::check_shutdown() {
  const double elapsed = net::monotonic_now() - shutdown_started_at_;
  if (!is_listening_ && elapsed >= config_.stop_after - kCloseConnectionsMarginSeconds)
    caller_server_.close_idle_connections();
  const bool is_idle = request_forwarder_.in_flight() == 0 && caller_server_.connections() == 0;
  const bool is_done = is_idle && !caller_server_.is_listening() && reactor_.lingering_closes().empty();
  const bool is_grace_over = elapsed > config_.site.admission.drain_grace;
  if (is_listening_ &&
      (elapsed >= config_.stop_after - kStopListeningMarginSeconds || (is_idle && is_grace_over))) {
    is_listening_ = false;
    caller_server_.stop_listening();
  } else if (!is_listening_ && (is_done || elapsed >= config_.stop_after - kStopMarginSeconds)) {
    log_.info("forwarder", "forwarder shutdown complete after {:.2f} s; {} requests unanswered", elapsed,
              request_forwarder_.in_flight());
    return reactor_.stop();
  }
  reactor_.after(kShutdownCheckIntervalSeconds, [this] { check_shutdown(); });
}

}  // namespace damsonspoke

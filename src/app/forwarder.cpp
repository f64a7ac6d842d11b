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

constexpr double kLinkShare = 0.15;  // of the memory limit: requests that planners do not read
constexpr double kBodyShare = 0.2;   // requests that are open
constexpr int kMostPlanners = 64;    // as the operators' file allows

// Links to planners that members tell come from where members hear this one.
std::string links_from(const OperatorOptions& options) {
  if (!options.forward.from_members || !options.members.enabled()) return {};
  return net::parse_address(options.members.bind).host().toString();
}

}  // namespace

std::uint64_t draw_epoch() {
  std::random_device device;
  std::uint64_t epoch = 0;
  while (epoch == 0) epoch = static_cast<std::uint64_t>(device()) << 32 | device();
  return epoch;
}

Forwarder::Forwarder(const Choice& choice, Reread reread, Logger& log)
    : config_(choice.config),
      options_(choice.options),
      reread_(std::move(reread)),
      log_(log),
      catalog_(catalog::Catalog::from_settings(config_.site, {}, draw_epoch())),
      forward_(reactor_, ports_, config_.site,
               {options_.forward, options_.results, part(config_.limits, kBodyShare)}, draw_epoch(),
               counters_, log_),
      callers_(reactor_, config_.listen, *catalog_, marks(options_.results),
               {connections_that_fit(config_.limits, kMostPlanners, peers::JsonRpcServer::kMaxInputBytes),
                part(config_.limits, kOutputShare)},
               forward_, counters_, log_),
      planners_(reactor_, {config_.name, draw_epoch(), config_.site.route_names, links_from(options_)},
                part(config_.limits, kLinkShare), forward_, counters_, log_),
      registry_(reactor_, config_.registry, config_.name, counters_),
      membership_(
          reactor_, choice, "forwarder",
          [this] {
            return Membership::Load{static_cast<double>(forward_.open()),
                                    static_cast<double>(options_.forward.queue_length)};
          },
          counters_, log_),
      discovery_({}),
      current_planners_(options_.forward.planners) {
  ports_ = {&callers_, &planners_, &registry_};
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow any more: the write says so, nobody dies of it
  reactor_.on_signal(SIGTERM, [this] { leave(); });
  reactor_.on_signal(SIGINT, [this] { leave(); });
  reactor_.on_signal(SIGHUP, [this] { reload(); });
  reactor_.on_signal(SIGUSR1, [this] { report(); });
  membership_.on_change = [this] { take_planners(); };
  if (options_.control.folder.empty()) return;
  control_ = std::make_unique<control::Server>(reactor_, options_.control.folder, log_);
  membership_.register_command(*control_);
}

// Planners that members tell come to those of the list.
void Forwarder::take_planners() {
  if (!options_.forward.from_members || leaving_since_ >= 0) return;
  const std::vector<std::string> now =
      discovery_.update(options_.forward.planners, membership_.planners(), net::monotonic_now());
  if (now == current_planners_) return;
  current_planners_ = now;
  forward_.set_planners(now);
  log_.info("forwarder", "members tell of planners: {} now", now.size());
}

int Forwarder::run() {
  const std::string host = config_.listen.substr(0, config_.listen.rfind(':'));
  forward_.begin();
  membership_.start(callers_.port());
  log_.info("forwarder", "{} listens on {}:{}", config_.name, host, callers_.port());
  deliver_signals();
  reactor_.run();
  defer_signals();
  report();
  return 0;
}

void Forwarder::report() {
  forward_.report();
  membership_.report();
  log_.block(counters_.report());
}

// Planners come and go while everything goes on. Guards against a file that can't be used: the old one stays.
void Forwarder::reload() {
  Choice choice;
  try {
    choice = reread_();
  } catch (const std::exception& error) {
    return log_.error("forwarder", "new configuration not taken, the old one stays: {}", error.what());
  }
  const Config& next = choice.config;
  if (next.listen != config_.listen || next.name != config_.name)
    log_.warn("forwarder", "a new name or listening address is taken at the next start only");
  registry_.move_to(config_.registry = next.registry);
  options_.forward.planners = choice.options.forward.planners;
  options_.forward.from_members = choice.options.forward.from_members;
  current_planners_ = options_.forward.planners;
  if (options_.forward.from_members)
    current_planners_ =
        discovery_.update(options_.forward.planners, membership_.planners(), net::monotonic_now());
  forward_.set_planners(current_planners_);
  membership_.on_configuration_reloaded(choice);
  log_.info("forwarder", "new configuration: {} planners", options_.forward.planners.size());
}

void Forwarder::leave() {
  if (leaving_since_ >= 0) return;
  leaving_since_ = net::monotonic_now();
  log_.info("forwarder", "notice to leave, {} ops open, {} connections", forward_.open(),
            callers_.connections());
  forward_.leave(config_.stop_after);
  membership_.leave();
  look_at_leaving();
}

// As a relay leaves: what was written to an accepted connection is ours to answer, so it listens nearly to
// the end.
void Forwarder::look_at_leaving() {
  const double now = net::monotonic_now() - leaving_since_;
  if (!listening_ && now >= config_.stop_after - kPartMargin) callers_.close_idle_connections();
  const bool quiet = forward_.open() == 0 && callers_.connections() == 0;
  const bool is_done = quiet && !callers_.is_listening() && reactor_.lingering_closes().empty();
  const bool grace_over = now > config_.site.admission.drain_grace;
  if (listening_ && (now >= config_.stop_after - kListenMargin || (quiet && grace_over))) {
    listening_ = false;
    callers_.stop_listening();
  } else if (!listening_ && (is_done || now >= config_.stop_after - kEndMargin)) {
    log_.info("forwarder", "left after {:.2f} s, {} ops unanswered", now, forward_.open());
    return reactor_.stop();
  }
  reactor_.after(kLeaveLook, [this] { look_at_leaving(); });
}

}  // namespace damsonspoke

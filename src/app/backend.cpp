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

constexpr int kBelowSockets = 8;     // a part of this many of them may be connections below
constexpr double kBelowShare = 0.1;  // replies and calls that are not whole yet
constexpr double kKeptShare = 0.03;  // a planner's answers that a forwarder may ask for again
constexpr double kRuntimeShare =
    0.05;  // commands that the runtime does not read; the rest: the program, open requests
constexpr long kClientsTold = 20, kMostClientsTold = 1000;  // to who asks by hand
constexpr double kOpenPerCore = 8;  // requests that it holds at most, for what it tells members

std::size_t below_links(const Limits& limits) {
  const std::size_t fit = part(limits, kBelowShare) / (peers::DependencyClient::kMaxInputBytes +
                                                       peers::DependencyClient::kMaxOutputBytes);
  return std::clamp<std::size_t>(fit, 1, static_cast<std::size_t>(descriptors(limits) / kBelowSockets));
}

// Their buffers are other ones than those of the platform's protocol; the share of memory is the same.
std::size_t ajp_links(const Limits& limits, const AjpOptions& ajp) {
  const std::size_t each =
      peers::AjpDependencyClient::max_input_bytes(ajp) + peers::AjpDependencyClient::kMaxOutputBytes;
  return std::clamp<std::size_t>(part(limits, kBelowShare) / each, 1, below_links(limits));
}

int links_that_fit(const Limits& limits, std::size_t input_bytes) {
  return connections_that_fit(limits, static_cast<int>(below_links(limits)), input_bytes);
}

}  // namespace

// Where operators have one, all fronts of callers share it.
void Backend::make_connection_admission(int connections, const std::vector<double>& floors) {
  if (!options_.gate.enabled) return;
  std::vector<double> priority_weight;
  for (const Route& type : config_.site.admission.routes) priority_weight.push_back(type.priority_weight);
  connection_admission_ = std::make_unique<peers::ConnectionAdmission>(
      reactor_, options_.gate, static_cast<std::size_t>(connections), floors, std::move(priority_weight),
      counters_, log_);
}

// Where requests come in: callers at a relay, by one protocol or two, forwarders at a planner.
std::unique_ptr<peers::RequestServer> Backend::make_front(Role role) {
  const StartSettings& site = config_.site;
  const std::size_t output = part(config_.limits, kOutputShare);
  peers::CallerEvents& events = intake_;
  if (role == Role::kPlanner) {
    const tier::SlowStartOptions slow_start{site.admission.cores, site.admission.slow_start_speed,
                                            site.admission.slow_start_time};
    peers::ForwarderServer::Self self{config_.name,       draw_epoch(),     slow_start,
                                      config_.stop_after, site.route_names, {}};
    for (const Route& type : site.admission.routes) self.priority_weight.push_back(type.priority_weight);
    const int fit = links_that_fit(config_.limits, peers::ForwarderServer::kMaxInputBytes);
    return std::make_unique<peers::ForwarderServer>(
        reactor_, config_.listen, std::move(self),
        peers::ForwarderServer::Limits{fit, output, part(config_.limits, kKeptShare)}, events, counters_,
        log_);
  }
  const peers::IdempotencyKeyOptions keys = marks(options_.results);
  const AjpOptions& ajp = options_.ajp;
  if (ajp.listen.empty()) {
    const int fit = links_that_fit(config_.limits, peers::JsonRpcServer::kMaxInputBytes);
    make_connection_admission(fit, {1});
    conns::ConnectionQuota* share = connection_admission_ ? &connection_admission_->quota() : nullptr;
    return std::make_unique<peers::JsonRpcServer>(
        reactor_, config_.listen, catalog_.catalog(), keys,
        peers::ListenerLimits{fit, output, share, 0, connection_admission_.get()}, events, counters_, log_);
  }
  const std::size_t input =
      std::max(peers::JsonRpcServer::kMaxInputBytes, peers::AjpServer::max_input_bytes(ajp));
  const int fit = links_that_fit(config_.limits, input);
  const std::vector<double> floors{std::max(ajp.share, 0.5), ajp.share};
  make_connection_admission(fit, floors);
  if (!connection_admission_)
    share_ = std::make_unique<conns::ConnectionQuota>(static_cast<std::size_t>(fit), floors);
  conns::ConnectionQuota& share = connection_admission_ ? connection_admission_->quota() : *share_;
  auto callers = std::make_unique<peers::JsonRpcServer>(
      reactor_, config_.listen, catalog_.catalog(), keys,
      peers::ListenerLimits{fit, output / 2, &share, 0, connection_admission_.get()}, events, counters_,
      log_);
  peers::AjpSite ajp_site{site.route_names, needs_key(config_, options_.results), {}, keys.max_bytes};
  for (const Route& type : site.admission.routes) ajp_site.timeouts.push_back(type.timeout);
  auto second = std::make_unique<peers::AjpServer>(
      reactor_, std::move(ajp_site), draw_epoch(), ajp,
      peers::ListenerLimits{fit, output / 2, &share, 1, connection_admission_.get()}, events, counters_,
      log_);
  ajp_ = second.get();
  return std::make_unique<peers::CombinedServer>(std::move(callers), std::move(second));
}

Backend::Backend(Role role, const Choice& choice, Reread reread, Logger& log)
    : config_(choice.config),
      options_(choice.options),
      reread_(std::move(reread)),
      log_(log),
      catalog_(reactor_, choice, counters_, log),
      in_flight_(ports_, counters_),
      sender_(ports_, config_.site, counters_),
      replay_(reactor_, {in_flight_, sender_, admission_}, config_.site, catalog_.catalog(), options_.results,
              counters_, log_),
      statistics_(reactor_, admission_, config_.site, config_.name, options_.knowledge, counters_, log_),
      executor_(in_flight_, sender_, replay_, counters_, log_),
      admission_(reactor_, config_.site, catalog_.catalog(), config_.seed, executor_, statistics_, ports_,
                 counters_),
      intake_(reactor_, {in_flight_, admission_, sender_, replay_}, ports_, config_.site, catalog_.catalog(),
              counters_),
      completion_handler_(in_flight_, sender_, replay_, admission_, intake_,
                          config_.site.admission.preemption, counters_),
      membership_(
          reactor_, choice, role == Role::kPlanner ? "planner" : "relay",
          [this] {
            return Membership::Load{static_cast<double>(in_flight_.unanswered()),
                                    kOpenPerCore * static_cast<double>(config_.site.admission.cores)};
          },
          counters_, log_),
      front_(make_front(role)),
      runtime_(reactor_, config_.runtime, part(config_.limits, kRuntimeShare), config_.site.gauges,
               completion_handler_, counters_, log_),
      dependency_(reactor_, options_.ajp.dependency.empty() ? config_.dependency : std::string(),
                  below_links(config_.limits), completion_handler_, counters_, log_),
      registry_(reactor_, config_.registry, config_.name, counters_) {
  ports_ = {front_.get(), &runtime_, &dependency_, &registry_};
  if (!options_.ajp.dependency.empty()) {
    ajp_below_ = std::make_unique<peers::AjpDependencyClient>(reactor_, options_.ajp,
                                                              ajp_links(config_.limits, options_.ajp),
                                                              completion_handler_, counters_, log_);
    ports_.dependency = ajp_below_.get();
  }
  in_flight_.log_answers(log_);
  listen_for_questions();
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow any more: the write says so, nobody dies of it
  reactor_.on_signal(SIGTERM, [this] { leave(); });
  reactor_.on_signal(SIGINT, [this] { leave(); });
  reactor_.on_signal(SIGHUP, [this] { reload(); });
  reactor_.on_signal(SIGUSR1, [this] { report(); });
}

void Backend::listen_for_questions() {
  if (options_.control.folder.empty()) return;
  control_ = std::make_unique<control::Server>(reactor_, options_.control.folder, log_);
  membership_.register_command(*control_);
  catalog_.answer_questions(*control_);
  control_->add("conns", [this](const std::vector<std::string>& words) {
    if (!connection_admission_) throw std::runtime_error("the gate is off: nothing is counted by client");
    const long most = words.size() > 1 ? std::atol(words[1].c_str()) : kClientsTold;
    return connection_admission_->report(static_cast<std::size_t>(std::clamp(most, 0L, kMostClientsTold)));
  });
}

int Backend::run() {
  const std::string host = config_.listen.substr(0, config_.listen.rfind(':'));
  log_.info("backend", "{} listens on {}:{}", config_.name, host, front_->port());
  if (ajp_ != nullptr) log_.info("backend", "takes AJP callers on port {}", ajp_->port());
  statistics_.wait_for_record();
  if (connection_admission_) connection_admission_->load_known_clients();
  membership_.start(front_->port());
  deliver_signals();
  reactor_.run();
  defer_signals();
  report();
  return 0;
}

void Backend::report() {
  replay_.update_counters();
  membership_.report();
  catalog_.report();
  log_.block(counters_.report());
}

// Addresses of peers move while everything goes on; each peer moves its own links. Guards against a file that
// is missing, cut short or wrong when it is read: then the old configuration stays, whole.
void Backend::reload() {
  catalog_.poll();
  Choice choice;
  try {
    choice = reread_();
  } catch (const std::exception& error) {
    return log_.error("backend", "new configuration not taken, the old one stays: {}", error.what());
  }
  const Config& next = choice.config;
  log_.info("backend", "new configuration: runtime {}, below {}, roster {}", next.runtime, next.dependency,
            next.registry);
  if (next.listen != config_.listen || next.name != config_.name)
    log_.warn("backend", "a new name or listening address is taken at the next start only");
  if (next.site.route_names != config_.site.route_names ||
      next.site.tenant_names != config_.site.tenant_names)
    log_.warn("backend", "new settings are taken at the next start only");
  runtime_.move_to(config_.runtime = next.runtime);
  config_.dependency = next.dependency;
  if (ajp_below_ == nullptr) {
    dependency_.move_to(config_.dependency);
  } else if (!choice.options.ajp.dependency.empty()) {
    ajp_below_->move_to(choice.options.ajp);
  }
  registry_.move_to(config_.registry = next.registry);
  replay_.reconfigure(choice.options.results);
  if (ajp_ != nullptr) ajp_->reconfigure(choice.options.ajp);
  if (connection_admission_) connection_admission_->reconfigure(choice.options.gate);
  membership_.on_configuration_reloaded(choice);
}

void Backend::leave() {
  if (leaving_since_ >= 0) return;
  leaving_since_ = net::monotonic_now();
  const std::size_t open = in_flight_.unanswered();
  // The grace counts from the notice, so what takes time comes after its beginning.
  sender_.drain();
  intake_.on_drain();
  admission_.on_drain(config_.stop_after);
  replay_.on_drain(config_.stop_after - kAnswerMargin);
  log_.info("backend", "notice to leave, {} ops open, {} connections", open, front_->connections());
  sender_.announce_drain();
  statistics_.on_drain();
  if (connection_admission_) connection_admission_->save_known_clients();
  membership_.leave();
  look_at_leaving();
}

// Callers hear late that this backend leaves, and what they have written to a connection that the machine
// took is ours: so it listens, and answers, nearly to the end.
void Backend::look_at_leaving() {
  const double now = net::monotonic_now() - leaving_since_;
  if (!listening_ && now >= config_.stop_after - kPartMargin) front_->close_idle_connections();
  const bool quiet = in_flight_.unanswered() == 0 && front_->connections() == 0;
  const bool is_done = quiet && !front_->is_listening() && reactor_.lingering_closes().empty();
  const bool grace_over = now > config_.site.admission.drain_grace;
  if (listening_ &&
      (now >= config_.stop_after - kListenMargin || (quiet && grace_over) || !admission_.is_started())) {
    listening_ = false;
    front_->stop_listening();
  } else if (!listening_ && (is_done || now >= config_.stop_after - kEndMargin)) {
    return stop();
  }
  reactor_.after(kLeaveLook, [this] { look_at_leaving(); });
}

// What is still in flight as the process ends: a request that was read in this very turn and waits for its
// original, a result whose write hangs. Nothing after this would answer it.
void Backend::answer_unanswered() {
  replay_.answer_pending_results();
  for (const RequestId id : in_flight_.unanswered_ids()) in_flight_.fail(*in_flight_.find(id));
}

void Backend::stop() {
  answer_unanswered();
  // Connections whose last request has just been answered are read once more and end in order.
  if (front_->connections() > 0) front_->close_idle_connections();
  answer_unanswered();
  log_.info("backend", "left after {:.2f} s, {} ops unanswered", net::monotonic_now() - leaving_since_,
            in_flight_.unanswered());
  reactor_.stop();
}

}  // namespace damsonspoke

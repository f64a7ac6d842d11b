#include "app/backend.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>

namespace damsonspoke {
namespace {

// Every resource that a peer can take has its bound, and the bounds add up to less than the limits.
constexpr int kOwnSockets = 32;       // descriptors: listener, peers, reactor, log, and some to spare
constexpr int kBelowSockets = 8;      // a part of this many of them may be connections below
constexpr double kOutputShare = 0.2;  // of the memory limit: answers that callers do not take
constexpr double kInputShare = 0.25;  // requests of callers that are not whole yet
constexpr double kBelowShare = 0.1;   // replies and calls that are not whole yet
constexpr double kRuntimeShare =
    0.05;  // commands that the runtime does not read; the rest: the program, open ops
constexpr double kBytesPerMb = 1024 * 1024;
constexpr double kLeaveLook = 0.02;     // s; between looks at whether the last answer is out
constexpr double kListenMargin = 0.15;  // s before the kill: the last connections are taken then
constexpr double kEndMargin = 0.06;     // s before the kill: the end in any case

int descriptors(const Limits& limits) {
  rlimit own{};
  if (::getrlimit(RLIMIT_NOFILE, &own) == 0 && own.rlim_cur < static_cast<rlim_t>(limits.sockets))
    return static_cast<int>(own.rlim_cur);
  return limits.sockets;
}

std::size_t part(const Limits& limits, double share) {
  return static_cast<std::size_t>(limits.memory_mb * share * kBytesPerMb);
}

std::size_t below_links(const Limits& limits) {
  const std::size_t fit = part(limits, kBelowShare) / (peers::Below::kMostInput + peers::Below::kMostOutput);
  return std::clamp<std::size_t>(fit, 1, static_cast<std::size_t>(descriptors(limits) / kBelowSockets));
}

peers::Callers::Limits caller_limits(const Limits& limits) {
  const int left = descriptors(limits) - kOwnSockets - static_cast<int>(below_links(limits));
  const int fit = static_cast<int>(part(limits, kInputShare) / peers::Callers::kMostInput);
  return {std::max(1, std::min(left, fit)), part(limits, kOutputShare)};
}

peers::Callers::Marks marks(const Config& config, const ResultsOptions& results) {
  if (!results.enabled) return {};
  peers::Callers::Marks marks{results.key_field, results.key_length, {}};
  for (std::size_t i = 0; i < config.site.type_names.size(); ++i) {
    const bool digest = std::find(results.digest.begin(), results.digest.end(), config.site.type_names[i]) !=
                        results.digest.end();
    marks.needed.push_back(config.site.settings.op_types[i].effect == Effect::kKeyed && !digest);
  }
  return marks;
}

}  // namespace

Backend::Backend(const Choice& choice, Reread reread, Logger& log)
    : config_(choice.config),
      options_(choice.options),
      reread_(std::move(reread)),
      log_(log),
      book_(ports_, counters_),
      send_(ports_, config_.site, counters_),
      recall_(reactor_, book_, send_, admit_, config_.site, options_.results, counters_, log_),
      learn_(reactor_, admit_, config_.site, config_.name, options_.knowledge, counters_, log_),
      route_(book_, send_, recall_, counters_, log_),
      admit_(reactor_, config_.site, config_.seed, route_, learn_, ports_, counters_),
      take_in_(reactor_, {book_, admit_, send_, recall_}, ports_, config_.site, counters_),
      relay_(book_, send_, recall_, admit_, take_in_, config_.site.settings.halt, counters_),
      callers_(reactor_, config_.listen, config_.site.type_names, marks(config_, options_.results),
               caller_limits(config_.limits), take_in_, counters_, log_),
      runtime_(reactor_, config_.runtime, part(config_.limits, kRuntimeShare), config_.site.gauges, relay_,
               counters_, log_),
      below_(reactor_, config_.below, below_links(config_.limits), relay_, counters_, log_),
      roster_(reactor_, config_.roster, config_.name, counters_) {
  ports_ = {&callers_, &runtime_, &below_, &roster_};
  std::signal(SIGPIPE, SIG_IGN);
  reactor_.on_signal(SIGTERM, [this] { leave(); });
  reactor_.on_signal(SIGINT, [this] { leave(); });
  reactor_.on_signal(SIGHUP, [this] { reload(); });
  reactor_.on_signal(SIGUSR1, [this] { report(); });
}

int Backend::run() {
  const std::string host = config_.listen.substr(0, config_.listen.rfind(':'));
  log_.info("backend", "{} listens on {}:{}", config_.name, host, callers_.port());
  learn_.get_ready();
  reactor_.run();
  report();
  return 0;
}

void Backend::report() {
  recall_.report();
  log_.block(counters_.report());
}

// Addresses of peers move while everything goes on; each peer moves its own links. Guards against a file that
// is missing, cut short or wrong when it is read: then the old configuration stays, whole.
void Backend::reload() {
  Choice choice;
  try {
    choice = reread_();
  } catch (const std::exception& error) {
    return log_.error("backend", "new configuration not taken, the old one stays: {}", error.what());
  }
  const Config& next = choice.config;
  log_.info("backend", "new configuration: runtime {}, below {}, roster {}", next.runtime, next.below,
            next.roster);
  if (next.listen != config_.listen || next.name != config_.name)
    log_.warn("backend", "a new name or listening address is taken at the next start only");
  runtime_.move_to(config_.runtime = next.runtime);
  below_.move_to(config_.below = next.below);
  roster_.move_to(config_.roster = next.roster);
  recall_.reconfigure(choice.options.results);
}

void Backend::leave() {
  if (leaving_since_ >= 0) return;
  leaving_since_ = net::monotonic_now();
  log_.info("backend", "notice to leave, {} ops open, {} connections", book_.unanswered(),
            callers_.connections());
  learn_.leaving();
  send_.leaving();
  admit_.on_leave(config_.stop_after);
  look_at_leaving();
}

// Callers hear late that this backend leaves, and what they have written to a connection that the machine
// took is ours: so it listens, and answers, nearly to the end.
void Backend::look_at_leaving() {
  const double now = net::monotonic_now() - leaving_since_;
  const bool quiet = book_.unanswered() == 0 && callers_.connections() == 0;
  const bool grace_over = now > config_.site.settings.drain_grace;
  if (listening_ && (now >= config_.stop_after - kListenMargin || (quiet && grace_over) || !admit_.begun())) {
    listening_ = false;
    callers_.stop_listening();
  } else if (!listening_ && ((book_.unanswered() == 0 && callers_.connections() == 0) ||
                             now >= config_.stop_after - kEndMargin)) {
    log_.info("backend", "left after {:.2f} s, {} ops unanswered", now, book_.unanswered());
    return reactor_.stop();
  }
  reactor_.after(kLeaveLook, [this] { look_at_leaving(); });
}

}  // namespace damsonspoke

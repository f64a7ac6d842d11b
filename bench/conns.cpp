// Benchmark of connection admission: a known client beside floods of connections of five shapes, alternately
// with and without the connection limiter. Measures how many of its connections are answered within 100 ms,
// which share of its requests is served, and the processor time that rejections cost.
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <cxxopts.hpp>

#include "connection_flood.h"
#include "fleet.h"

using namespace damsonspoke::standins;

namespace {

const char* const kBinary = DAMSONSPOKE_BINARY;
constexpr const char* kKnownClientAddress = "127.7.0.1";
constexpr int kDescriptorLimit = 384;            // as on the smallest backends
constexpr double kResponseTimeoutSeconds = 0.1;  // until a new connection is answered

struct Shape {
  const char* name;
  FloodShape shape;
  unsigned addresses, connections_per_address;
  // Lowers the process's limit of descriptors below the size of its connection table.
  bool has_few_descriptors = false;
};
constexpr Shape kShapes[] = {{"silent", FloodShape::kSilent, 1000, 50},
                             {"connect and reset", FloodShape::kReset, 1000, 50},
                             {"one byte per second", FloodShape::kDrip, 1000, 50},
                             {"health checks, stay", FloodShape::kHealthRequests, 1000, 50},
                             {"few descriptors", FloodShape::kHealthRequests, 1000, 50, true}};
constexpr rlim_t kFewDescriptors = 100;

struct TrialResult {
  int connections = 0, in_time = 0, violations = 0, unanswered = 0;
  double longest_seconds = 0;       // until a new connection was answered
  std::uint64_t reconnections = 0;  // of the connections that carry the client's requests
  double requested_weight = 0, served_weight = 0;
  double cpu_seconds = 0, seconds = 0, flood_connections = 0, rss_mb = 0;
  double in_time_share() const { return connections > 0 ? static_cast<double>(in_time) / connections : 0; }
  double served_share() const { return requested_weight > 0 ? served_weight / requested_weight : 0; }
};

void add(TrialResult& to, const TrialResult& from) {
  to.connections += from.connections, to.in_time += from.in_time, to.violations += from.violations,
      to.unanswered += from.unanswered;
  to.longest_seconds = std::max(to.longest_seconds, from.longest_seconds),
  to.rss_mb = std::max(to.rss_mb, from.rss_mb);
  to.requested_weight += from.requested_weight, to.served_weight += from.served_weight;
  to.reconnections += from.reconnections, to.cpu_seconds += from.cpu_seconds, to.seconds += from.seconds,
      to.flood_connections += from.flood_connections;
}

SiteSpec site_spec(bool has_limiter) {
  SiteSpec site;
  site.types = {{"read", "retryable", 0.5, 2, 0, 1}, {"close", "retryable", 0.5, 2, 0, 3}};
  site.sockets = kDescriptorLimit;
  if (has_limiter) site.operators = "gate\n    enabled on\n";
  return site;
}

// Runs one trial. `per_s`: new connections per second of the flood; 0: no flood.
TrialResult run_trial(bool has_limiter, const Shape& shape, double per_s, double load, double seconds,
                      std::uint64_t seed) {
  TrialResult out;
  Callers::Options caller_options;
  caller_options.flows = {{"read", load * 0.8, 2}, {"close", load * 0.2, 2}};
  for (Flow& flow : caller_options.flows) flow.retries = 1, flow.pause = 0.1;
  caller_options.connections = 6, caller_options.from = kKnownClientAddress, caller_options.seed = seed;
  Fleet fleet(kBinary, site_spec(has_limiter), {}, caller_options);
  if (!fleet.start()) return out.violations = 1, out;
  fleet.loop.run_until([&] { return fleet.server.registry.is_listed(); }, 5);
  fleet.loop.run_for(1.5);  // the client becomes known
  ReconnectingClient client(fleet.loop, fleet.server.port(),
                            {kKnownClientAddress, 0.02, kResponseTimeoutSeconds, 0});
  const double began = now(), cpu = fleet.process->processor_time();
  const std::uint64_t connections_before = fleet.callers.dialled();
  if (shape.has_few_descriptors && per_s > 0) {
    const rlimit limit{kFewDescriptors, kFewDescriptors};
    ::prlimit(fleet.process->pid(), RLIMIT_NOFILE, &limit, nullptr);
  }
  {
    std::unique_ptr<Flood> flood;
    if (per_s > 0)
      flood = std::make_unique<Flood>(
          fleet.server.port(),
          Flood::Options{shape.shape, shape.addresses, shape.connections_per_address, per_s});
    fleet.loop.run_for(seconds);
    out.cpu_seconds = fleet.process->processor_time() - cpu, out.seconds = now() - began;
    out.rss_mb = static_cast<double>(fleet.process->resident_kb()) / 1024;
    if (flood) out.flood_connections = static_cast<double>(flood->dialled());
    out.reconnections = fleet.callers.dialled() - connections_before;
    client.stop();
    fleet.loop.run_until([&] { return client.is_idle(); }, 6);
  }
  out.connections = client.connects(), out.in_time = client.answered_in_time(),
  out.longest_seconds = client.max_answer_seconds();
  fleet.settle(4);
  out.violations += !fleet.shut_down();
  for (const auto& [request, attempt] : fleet.journal.attempts) {
    if (attempt.sent < began || attempt.sent > began + seconds) continue;
    const double weight = attempt.type == "close" ? 3 : 1;
    const bool served = !attempt.answers.empty() && attempt.answers[0].kind == AnswerKind::kSucceeded &&
                        attempt.answers[0].at - attempt.sent <= 0.5;
    out.requested_weight += weight, out.served_weight += served ? weight : 0;
  }
  const Verdict verdict = check_rules(fleet.journal, fleet.limits());
  for (const std::string& text : verdict.broken) fmt::print("  {}\n", text);
  out.unanswered = verdict.unanswered, out.violations += static_cast<int>(verdict.broken.size());
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("conns", "connection admission under floods");
  options.add_options()("seconds", "duration of each trial", cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rounds", "", cxxopts::value<int>()->default_value("1"))(
      "rate", "new connections per second of the flood", cxxopts::value<double>()->default_value("5000"))(
      "load", "requests per second of the known client", cxxopts::value<double>()->default_value("30"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>(), rate = flags["rate"].as<double>(),
               load = flags["load"].as<double>();
  TrialResult limited, unlimited, calm;
  double min_in_time_share = 1, min_in_time_share_unlimited = 1, min_served_share = 1, max_extra_cpu = 0;
  fmt::print("{:<20}{:<8}{:>8}{:>10}{:>8}{:>8}{:>10}{:>10}{:>8}\n", "flood", "limiter", "in time", "longest",
             "served", "reconn.", "flood/s", "cores", "MB");
  const auto print_row = [&](const char* name, const char* rule, const TrialResult& trial) {
    fmt::print("{:<20}{:<8}{:>8.3f}{:>9.3f}s{:>8.3f}{:>8}{:>10.0f}{:>10.3f}{:>8.1f}\n", name, rule,
               trial.in_time_share(), trial.longest_seconds, trial.served_share(), trial.reconnections,
               trial.flood_connections / trial.seconds, trial.cpu_seconds / trial.seconds, trial.rss_mb);
  };
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    const std::uint64_t seed = flags["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(round);
    const TrialResult no_flood = run_trial(true, kShapes[0], 0, load, seconds, seed);
    print_row("none", "on", no_flood);
    add(calm, no_flood);
    for (const Shape& shape : kShapes) {
      const TrialResult without = run_trial(false, shape, rate, load, seconds, seed),
                        limiter = run_trial(true, shape, rate, load, seconds, seed);
      print_row(shape.name, "off", without), print_row(shape.name, "on", limiter);
      add(unlimited, without), add(limited, limiter);
      min_in_time_share = std::min(min_in_time_share, limiter.in_time_share()),
      min_in_time_share_unlimited = std::min(min_in_time_share_unlimited, without.in_time_share());
      min_served_share = std::min(min_served_share, limiter.served_share());
      max_extra_cpu = std::max(max_extra_cpu, (limiter.cpu_seconds - no_flood.cpu_seconds) / limiter.seconds);
    }
  }
  fmt::print(
      "figures: known_in_time={:.4f} known_in_time_before={:.4f} known_in_time_least={:.4f} "
      "known_in_time_least_before={:.4f} worth_flood={:.4f} worth_flood_least={:.4f} "
      "worth_flood_before={:.4f} "
      "worth_calm={:.4f} dialled_again={} dialled_again_before={} lost={} rule_breaks={} spin_cpu={:.3f} "
      "flood_conns_per_s={:.0f} rss_mb={:.1f}\n",
      limited.in_time_share(), unlimited.in_time_share(), min_in_time_share, min_in_time_share_unlimited,
      limited.served_share(), min_served_share, unlimited.served_share(), calm.served_share(),
      limited.reconnections, unlimited.reconnections, limited.unanswered, limited.violations, max_extra_cpu,
      limited.flood_connections / limited.seconds, limited.rss_mb);
  return 0;
}

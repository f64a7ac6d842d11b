// KnownClients clients beside floods of five shapes, with the gate and with today's rule, by turns: who gets
// in within 100 ms, what is served of what the flood leaves alone, and what refusing costs.
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <cxxopts.hpp>

#include "connection_flood.h"
#include "fleet.h"

using namespace damsonspoke::standins;

namespace {

const char* const kBinary = DAMSONSPOKE_BINARY;
constexpr const char* kClient = "127.7.0.1";
constexpr int kSockets = 384;      // descriptors, as the smallest backends have
constexpr double kPatience = 0.1;  // s to be in

struct Shape {
  const char* name;
  FloodShape shape;
  unsigned addresses, each;
  bool scarce = false;  // and the system's bound is lowered under the table
};
constexpr Shape kShapes[] = {{"crowd, silent", FloodShape::kSilent, 1000, 50},
                             {"connect and reset", FloodShape::kReset, 1000, 50},
                             {"a byte a second", FloodShape::kDrip, 1000, 50},
                             {"asking, and staying", FloodShape::kHealthRequests, 1000, 50},
                             {"few descriptors", FloodShape::kHealthRequests, 1000, 50, true}};
constexpr rlim_t kFew = 100;  // descriptors, then

struct Played {
  int came = 0, in_time = 0, broken = 0, lost = 0;
  double longest = 0;               // s
  std::uint64_t dialled_again = 0;  // connections that the client's requests needed anew
  double worth_asked = 0, worth_served = 0;
  double cpu = 0, seconds = 0, dialled = 0, rss_mb = 0;
  double in() const { return came > 0 ? static_cast<double>(in_time) / came : 0; }
  double worth() const { return worth_asked > 0 ? worth_served / worth_asked : 0; }
};

void add(Played& to, const Played& from) {
  to.came += from.came, to.in_time += from.in_time, to.broken += from.broken, to.lost += from.lost;
  to.longest = std::max(to.longest, from.longest), to.rss_mb = std::max(to.rss_mb, from.rss_mb);
  to.worth_asked += from.worth_asked, to.worth_served += from.worth_served;
  to.dialled_again += from.dialled_again, to.cpu += from.cpu, to.seconds += from.seconds,
      to.dialled += from.dialled;
}

SiteSpec site(bool gate) {
  SiteSpec s;
  s.types = {{"read", "retryable", 0.5, 2, 0, 1}, {"close", "retryable", 0.5, 2, 0, 3}};
  s.sockets = kSockets;
  if (gate) s.operators = "gate\n    enabled on\n";
  return s;
}

// `per_s`: of the flood; 0: none.
Played play(bool gate, const Shape& shape, double per_s, double load, double seconds, std::uint64_t seed) {
  Played out;
  Callers::Options callers;
  callers.flows = {{"read", load * 0.8, 2}, {"close", load * 0.2, 2}};
  for (Flow& flow : callers.flows) flow.retries = 1, flow.pause = 0.1;
  callers.connections = 6, callers.from = kClient, callers.seed = seed;
  Fleet fleet(kBinary, site(gate), {}, callers);
  if (!fleet.start()) return out.broken = 1, out;
  fleet.loop.run_until([&] { return fleet.server.registry.is_listed(); }, 5);
  fleet.loop.run_for(1.5);  // the client becomes known
  ReconnectingClient client(fleet.loop, fleet.server.port(), {kClient, 0.02, kPatience, 0});
  const double began = now(), cpu = fleet.process->processor_time();
  const std::uint64_t links = fleet.callers.dialled();
  if (shape.scarce && per_s > 0) {
    const rlimit few{kFew, kFew};
    ::prlimit(fleet.process->pid(), RLIMIT_NOFILE, &few, nullptr);
  }
  {
    std::unique_ptr<Flood> flood;
    if (per_s > 0)
      flood = std::make_unique<Flood>(fleet.server.port(),
                                      Flood::Options{shape.shape, shape.addresses, shape.each, per_s});
    fleet.loop.run_for(seconds);
    out.cpu = fleet.process->processor_time() - cpu, out.seconds = now() - began;
    out.rss_mb = static_cast<double>(fleet.process->resident_kb()) / 1024;
    if (flood) out.dialled = static_cast<double>(flood->dialled());
    out.dialled_again = fleet.callers.dialled() - links;
    client.stop();
    fleet.loop.run_until([&] { return client.is_idle(); }, 6);
  }
  out.came = client.connects(), out.in_time = client.answered_in_time(),
  out.longest = client.max_answer_seconds();
  fleet.settle(4);
  out.broken += !fleet.shut_down();
  for (const auto& [request, t] : fleet.journal.attempts) {
    if (t.sent < began || t.sent > began + seconds || t.was_not_sent) continue;
    const double worth = t.type == "close" ? 3 : 1;
    const bool served =
        !t.answers.empty() && t.answers[0].kind == AnswerKind::kSucceeded && t.answers[0].at - t.sent <= 0.5;
    out.worth_asked += worth, out.worth_served += served ? worth : 0;
  }
  const Verdict verdict = check_rules(fleet.journal, fleet.limits());
  for (const std::string& text : verdict.broken) fmt::print("  {}\n", text);
  out.lost = verdict.unanswered, out.broken += static_cast<int>(verdict.broken.size());
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("conns", "admission of connections under floods");
  options.add_options()("seconds", "of each play", cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rounds", "", cxxopts::value<int>()->default_value("1"))(
      "rate", "new connections a second of the flood", cxxopts::value<double>()->default_value("5000"))(
      "load", "ops a second of the known client", cxxopts::value<double>()->default_value("30"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>(), rate = flags["rate"].as<double>(),
               load = flags["load"].as<double>();
  Played with, before, calm;
  double least_in = 1, least_before = 1, least_worth = 1, most_cpu = 0;
  fmt::print("{:<20}{:<8}{:>8}{:>10}{:>8}{:>8}{:>10}{:>10}{:>8}\n", "flood", "rule", "in", "longest", "worth",
             "again", "dialled/s", "cores", "MB");
  const auto row = [&](const char* name, const char* rule, const Played& p) {
    fmt::print("{:<20}{:<8}{:>8.3f}{:>9.3f}s{:>8.3f}{:>8}{:>10.0f}{:>10.3f}{:>8.1f}\n", name, rule, p.in(),
               p.longest, p.worth(), p.dialled_again, p.dialled / p.seconds, p.cpu / p.seconds, p.rss_mb);
  };
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    const std::uint64_t seed = flags["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(round);
    const Played none = play(true, kShapes[0], 0, load, seconds, seed);
    row("none", "gate", none);
    add(calm, none);
    for (const Shape& shape : kShapes) {
      const Played old = play(false, shape, rate, load, seconds, seed),
                   gate = play(true, shape, rate, load, seconds, seed);
      row(shape.name, "today", old), row(shape.name, "gate", gate);
      add(before, old), add(with, gate);
      least_in = std::min(least_in, gate.in()), least_before = std::min(least_before, old.in());
      least_worth = std::min(least_worth, gate.worth());
      most_cpu = std::max(most_cpu, (gate.cpu - none.cpu) / gate.seconds);
    }
  }
  fmt::print(
      "figures: known_in_time={:.4f} known_in_time_before={:.4f} known_in_time_least={:.4f} "
      "known_in_time_least_before={:.4f} worth_flood={:.4f} worth_flood_least={:.4f} "
      "worth_flood_before={:.4f} "
      "worth_calm={:.4f} dialled_again={} dialled_again_before={} lost={} rule_breaks={} spin_cpu={:.3f} "
      "flood_conns_per_s={:.0f} rss_mb={:.1f}\n",
      with.in(), before.in(), least_in, least_before, with.worth(), least_worth, before.worth(), calm.worth(),
      with.dialled_again, before.dialled_again, with.lost, with.broken, most_cpu, with.dialled / with.seconds,
      with.rss_mb);
  return 0;
}

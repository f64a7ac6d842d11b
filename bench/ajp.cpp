// Two fronts: close-outs by JSON-RPC beside AJP at its share and at six times of it, both together at 1.2 of
// the capacity without the flood; what a request costs by either protocol; and the codec under spoilt input.
#include <fmt/format.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <pcg_random.hpp>

#include "ajp_gateway.h"
#include "fleet.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size);

using namespace damsonspoke::standins;

namespace {

const char* const kBinary = DAMSONSPOKE_BINARY;
constexpr int kCores = 2;
constexpr double kWork = 0.02, kTarget = 0.2, kTimeout = 1;  // s
constexpr double kCapacity = kCores / kWork;                 // requests a second
constexpr double kCloses = 0.2;                              // of what either front asks

SiteSpec site() {
  SiteSpec s;
  s.types = {{"read", "retryable", kTarget, kTimeout, 0, 1}, {"close", "retryable", kTarget, kTimeout, 0, 3}};
  s.cores = kCores;
  s.operators =
      "ajp\n    listen 127.0.0.1:0\n    map POST /ops/read read wait=header:x-wait-ms caller=header:x-hotel\n"
      "    map POST /ops/close close wait=header:x-wait-ms caller=header:x-hotel\n";
  return s;
}

struct Played {
  double closes_asked = 0, closes_served = 0;          // by JSON-RPC
  double all_closes_asked = 0, all_closes_served = 0;  // by either front
  double asked = 0, served = 0;
  int lost = 0, late = 0, doubled = 0, broken = 0;
  std::uint64_t requests = 0;
  double cpu = 0;  // s
  double closeouts() const { return closes_asked > 0 ? closes_served / closes_asked : 0; }
  double all_closeouts() const { return all_closes_asked > 0 ? all_closes_served / all_closes_asked : 0; }
};

// `rpc`, `ajp`: requests a second by either front; a share of them close-outs, of AJP's `ajp_closes` where
// that is told.
Played play(double rpc, double ajp, double work, double seconds, std::uint64_t seed,
            double ajp_closes = kCloses) {
  Played out;
  Loop loop;
  Journal journal;
  const auto flows = [](double per_s, double closes) {
    std::vector<Flow> all;
    if (per_s <= 0) return all;
    all.push_back({"read", per_s * (1 - closes), kTimeout});
    all.push_back({"close", per_s * closes, kTimeout});
    for (Flow& flow : all) flow.retries = 0;
    return all;
  };
  Callers::Options load;
  load.flows = flows(rpc, kCloses);
  load.connections = 12, load.seed = seed;
  load.caller_ids =
      9;  // the same ones as the gateway's: a hotel with over half of what waits loses room first
  AjpGateway::Options asking;
  asking.flows = flows(ajp, ajp_closes);
  asking.connections = 150, asking.seed = seed + 1;
  Runtime::Options runtime;
  runtime.cores = kCores, runtime.work = work;
  Callers callers(loop, journal, load);
  AjpGateway gateway(loop, journal, asking);
  Server server(loop, journal, callers, kBinary, site(), runtime);
  if (!server.start()) return out.broken = 1, out;
  const std::string line = server.process->expect_log("takes AJP callers");
  gateway.reach(static_cast<std::uint16_t>(std::atoi(line.substr(line.rfind(' ') + 1).c_str())), 0);
  loop.run_until([&] { return server.registry.is_listed(); }, 5);
  const double began = server.process->processor_time();
  loop.run_for(seconds);
  out.cpu = server.process->processor_time() - began;
  out.requests = server.process->counters()["requests.read"];
  callers.set_load_enabled(false);
  gateway.want_more(false);
  loop.run_until(
      [&] {
        return callers.attempts_in_flight() == 0 && callers.unfinished_tasks() == 0 && gateway.open() == 0;
      },
      4);
  out.broken += !server.shut_down();
  for (const auto& [request, t] : journal.attempts) {
    if (t.was_not_sent) continue;
    const bool in_time = !t.answers.empty() && t.answers[0].kind == AnswerKind::kSucceeded &&
                         t.answers[0].at - t.sent <= kTarget;
    ++out.asked, out.served += in_time;
    if (t.type != "close") continue;
    ++out.all_closes_asked, out.all_closes_served += in_time;
    if (t.is_numbered_by_server) continue;
    ++out.closes_asked, out.closes_served += in_time;
  }
  RuleLimits limits;
  limits.survivable_concurrency = 8 * kCores;
  const Verdict verdict = check_rules(journal, limits);
  for (const std::string& text : verdict.broken) fmt::print("  {}\n", text);
  out.lost = verdict.unanswered, out.late = verdict.late;
  out.doubled = verdict.answered_twice + verdict.double_runs + verdict.wrong_results;
  out.broken += static_cast<int>(verdict.broken.size());
  return out;
}

void add(Played& to, const Played& from) {
  to.closes_asked += from.closes_asked, to.closes_served += from.closes_served;
  to.all_closes_asked += from.all_closes_asked, to.all_closes_served += from.all_closes_served;
  to.asked += from.asked, to.served += from.served, to.lost += from.lost, to.late += from.late;
  to.doubled += from.doubled, to.broken += from.broken, to.requests += from.requests, to.cpu += from.cpu;
}

// The kept corpus and inputs that are made of it by a few seeded changes; the target aborts on a finding.
std::size_t spoil(std::size_t count, std::uint64_t seed) {
  std::vector<std::string> corpus;
  for (const char* name : {"request", "attributes", "stored", "pings", "body", "answer", "more", "null"}) {
    std::ifstream in(std::string(DAMSONSPOKE_CORPUS) + "/" + name, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  }
  pcg32 random(seed);
  for (std::size_t i = 0; i < count; ++i) {
    std::string input = corpus[random() % corpus.size()];
    for (unsigned n = 1 + random() % 4; n > 0; --n) {
      if (input.empty()) input.push_back('A');
      const std::size_t at = random() % input.size();
      switch (random() % 5) {
        case 0: input[at] = static_cast<char>(input[at] ^ (1 << random() % 8)); break;
        case 1: input[at] = static_cast<char>(random()); break;
        case 2: input.erase(at, 1 + random() % 8); break;
        case 3: input.insert(at, 1 + random() % 8, static_cast<char>(random())); break;
        default: input += corpus[random() % corpus.size()];
      }
    }
    LLVMFuzzerTestOneInput(reinterpret_cast<const unsigned char*>(input.data()), input.size());
  }
  return count;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("ajp", "two fronts");
  options.add_options()("seconds", "of each play", cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rounds", "", cxxopts::value<int>()->default_value("2"))(
      "execs", "spoilt inputs for the codec", cxxopts::value<std::size_t>()->default_value("1000000"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  Played alone, mixed, reads, only_rpc, only_ajp;
  constexpr double kShare = 0.6 * kCapacity;  // of either front: together 1.2 of the capacity
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    const std::uint64_t seed = flags["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(round) * 10;
    add(alone, play(kShare, kShare, kWork, seconds, seed));
    add(mixed, play(kShare, 6 * kShare, kWork, seconds, seed));
    // The flood asks for more reads only: its close-outs stay as many as without it.
    add(reads, play(kShare, 6 * kShare, kWork, seconds, seed, kCloses / 6));
    add(only_rpc, play(400, 0, 0.001, seconds, seed));
    add(only_ajp, play(0, 400, 0.001, seconds, seed));
  }
  const auto row = [](const char* name, const Played& p) {
    fmt::print("{:<22}{:>8}{:>10.3f}{:>12.3f}{:>12.3f}{:>8.1f}\n", name, p.requests,
               p.served / std::max(1.0, p.asked), p.closeouts(), p.all_closeouts(),
               p.cpu / static_cast<double>(std::max<std::uint64_t>(1, p.requests)) * 1e6);
  };
  fmt::print("{:<22}{:>8}{:>10}{:>12}{:>12}{:>8}\n", "play", "ops", "in time", "close-outs", "both fronts",
             "us/op");
  row("both at their share", alone), row("AJP at six times", mixed);
  row("AJP's reads at six", reads);
  row("JSON-RPC alone, 400/s", only_rpc), row("AJP alone, 400/s", only_ajp);
  const std::size_t execs = spoil(flags["execs"].as<std::size_t>(), 7);
  const auto cpu = [](const Played& p) {
    return p.cpu / static_cast<double>(std::max<std::uint64_t>(1, p.requests)) * 1e6;
  };
  const auto sum = [&](int Played::*of) {
    return alone.*of + mixed.*of + reads.*of + only_rpc.*of + only_ajp.*of;
  };
  fmt::print(
      "figures: lost={} late={} doubled={} rule_breaks={} closeout_worth_mixed={:.4f} "
      "closeout_worth_alone={:.4f} closeout_worth_both={:.4f} "
      "closeout_worth_reads={:.4f} "
      "ajp_cpu_us_per_op={:.1f} rpc_cpu_us_per_op={:.1f} fuzz_execs={}\n",
      sum(&Played::lost), sum(&Played::late), sum(&Played::doubled), sum(&Played::broken), mixed.closeouts(),
      alone.closeouts(), mixed.all_closeouts(), reads.closeouts(), cpu(only_ajp), cpu(only_rpc), execs);
  return 0;
}

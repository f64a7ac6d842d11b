// Benchmark of a backend with two listeners, JSON-RPC and AJP. Measures the `close` requests served by
// JSON-RPC while AJP sends its normal load and six times as much (without the flood, both together send 1.2
// times the capacity), the processor time of a request by either protocol, and runs the AJP codec on mutated
// input.
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
constexpr double kCapacity = kCores / kWork;                 // requests per second
constexpr double kCloseShare = 0.2;                          // of the requests to either listener

SiteSpec site_spec() {
  SiteSpec site;
  site.types = {{"read", "retryable", kTarget, kTimeout, 0, 1},
                {"close", "retryable", kTarget, kTimeout, 0, 3}};
  site.cores = kCores;
  site.operators =
      "ajp\n    listen 127.0.0.1:0\n    map POST /ops/read read wait=header:x-wait-ms caller=header:x-hotel\n"
      "    map POST /ops/close close wait=header:x-wait-ms caller=header:x-hotel\n";
  return site;
}

struct TrialResult {
  double closes_requested = 0, closes_served = 0;          // by JSON-RPC
  double all_closes_requested = 0, all_closes_served = 0;  // by either protocol
  double requested = 0, served = 0;
  int unanswered = 0, late = 0, duplicated = 0, violations = 0;
  std::uint64_t requests = 0;
  double cpu_seconds = 0;
  double served_close_share() const { return closes_requested > 0 ? closes_served / closes_requested : 0; }
  double served_close_share_of_both() const {
    return all_closes_requested > 0 ? all_closes_served / all_closes_requested : 0;
  }
};

// Runs one trial. `ajp_close_share` is the share of `close` requests by AJP; by JSON-RPC it is kCloseShare.
TrialResult run_trial(double rpc_per_second, double ajp_per_second, double work, double seconds,
                      std::uint64_t seed, double ajp_close_share = kCloseShare) {
  TrialResult out;
  Loop loop;
  Journal journal;
  const auto flows = [](double per_s, double close_share) {
    std::vector<Flow> all;
    if (per_s <= 0) return all;
    all.push_back({"read", per_s * (1 - close_share), kTimeout});
    all.push_back({"close", per_s * close_share, kTimeout});
    for (Flow& flow : all) flow.retries = 0;
    return all;
  };
  Callers::Options caller_options;
  caller_options.flows = flows(rpc_per_second, kCloseShare);
  caller_options.connections = 12, caller_options.seed = seed;
  // The same callers as the gateway's: a caller with over half of the queued requests is rejected first.
  caller_options.caller_ids = 9;
  AjpGateway::Options gateway_options;
  gateway_options.flows = flows(ajp_per_second, ajp_close_share);
  gateway_options.connections = 150, gateway_options.seed = seed + 1;
  Runtime::Options runtime;
  runtime.cores = kCores, runtime.work = work;
  Callers callers(loop, journal, caller_options);
  AjpGateway gateway(loop, journal, gateway_options);
  Server server(loop, journal, callers, kBinary, site_spec(), runtime);
  if (!server.start()) return out.violations = 1, out;
  const std::string line = server.process->expect_log("accepts AJP callers");
  gateway.set_server(static_cast<std::uint16_t>(std::atoi(line.substr(line.rfind(' ') + 1).c_str())), 0);
  loop.run_until([&] { return server.registry.is_listed(); }, 5);
  const double cpu_began = server.process->processor_time();
  loop.run_for(seconds);
  out.cpu_seconds = server.process->processor_time() - cpu_began;
  out.requests = server.process->counters()["requests.read"];
  callers.set_load_enabled(false);
  gateway.set_load_enabled(false);
  loop.run_until(
      [&] {
        return callers.attempts_in_flight() == 0 && callers.unfinished_tasks() == 0 &&
               gateway.in_flight() == 0;
      },
      4);
  out.violations += !server.shut_down();
  for (const auto& [request, attempt] : journal.attempts) {
    const bool in_time = !attempt.answers.empty() && attempt.answers[0].kind == AnswerKind::kSucceeded &&
                         attempt.answers[0].at - attempt.sent <= kTarget;
    ++out.requested, out.served += in_time;
    if (attempt.type != "close") continue;
    ++out.all_closes_requested, out.all_closes_served += in_time;
    if (attempt.is_numbered_by_server) continue;
    ++out.closes_requested, out.closes_served += in_time;
  }
  RuleLimits limits;
  limits.survivable_concurrency = 8 * kCores;
  const Verdict verdict = check_rules(journal, limits);
  for (const std::string& text : verdict.broken) fmt::print("  {}\n", text);
  out.unanswered = verdict.unanswered, out.late = verdict.late;
  out.duplicated = verdict.answered_twice + verdict.double_runs + verdict.wrong_results;
  out.violations += static_cast<int>(verdict.broken.size());
  return out;
}

void add(TrialResult& to, const TrialResult& from) {
  to.closes_requested += from.closes_requested, to.closes_served += from.closes_served;
  to.all_closes_requested += from.all_closes_requested, to.all_closes_served += from.all_closes_served;
  to.requested += from.requested, to.served += from.served, to.unanswered += from.unanswered,
      to.late += from.late;
  to.duplicated += from.duplicated, to.violations += from.violations, to.requests += from.requests,
      to.cpu_seconds += from.cpu_seconds;
}

// Runs the fuzz target on seeded mutations of its corpus. The target aborts on a finding.
std::size_t run_codec_on_mutations(std::size_t count, std::uint64_t seed) {
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
  cxxopts::Options options("ajp", "JSON-RPC and AJP callers of one backend");
  options.add_options()("seconds", "duration of each trial", cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rounds", "", cxxopts::value<int>()->default_value("2"))(
      "execs", "number of mutated inputs for the codec",
      cxxopts::value<std::size_t>()->default_value("1000000"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  TrialResult normal, flooded, read_flooded, only_rpc, only_ajp;
  constexpr double kListenerRate = 0.6 * kCapacity;  // of each listener: together 1.2 times the capacity
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    const std::uint64_t seed = flags["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(round) * 10;
    add(normal, run_trial(kListenerRate, kListenerRate, kWork, seconds, seed));
    add(flooded, run_trial(kListenerRate, 6 * kListenerRate, kWork, seconds, seed));
    // The flood consists of reads only: the rate of close requests by AJP stays the same.
    add(read_flooded, run_trial(kListenerRate, 6 * kListenerRate, kWork, seconds, seed, kCloseShare / 6));
    add(only_rpc, run_trial(400, 0, 0.001, seconds, seed));
    add(only_ajp, run_trial(0, 400, 0.001, seconds, seed));
  }
  const auto print_row = [](const char* name, const TrialResult& trial) {
    fmt::print("{:<22}{:>8}{:>10.3f}{:>12.3f}{:>12.3f}{:>8.1f}\n", name, trial.requests,
               trial.served / std::max(1.0, trial.requested), trial.served_close_share(),
               trial.served_close_share_of_both(),
               trial.cpu_seconds / static_cast<double>(std::max<std::uint64_t>(1, trial.requests)) * 1e6);
  };
  fmt::print("{:<22}{:>8}{:>10}{:>12}{:>12}{:>8}\n", "trial", "requests", "in time", "closes", "both closes",
             "us/req");
  print_row("normal load", normal), print_row("AJP at six times", flooded);
  print_row("AJP, reads at six", read_flooded);
  print_row("JSON-RPC alone, 400/s", only_rpc), print_row("AJP alone, 400/s", only_ajp);
  const std::size_t execs = run_codec_on_mutations(flags["execs"].as<std::size_t>(), 7);
  const auto cpu_us_per_request = [](const TrialResult& trial) {
    return trial.cpu_seconds / static_cast<double>(std::max<std::uint64_t>(1, trial.requests)) * 1e6;
  };
  const auto sum = [&](int TrialResult::*of) {
    return normal.*of + flooded.*of + read_flooded.*of + only_rpc.*of + only_ajp.*of;
  };
  fmt::print(
      "figures: lost={} late={} doubled={} rule_breaks={} closeout_worth_mixed={:.4f} "
      "closeout_worth_alone={:.4f} closeout_worth_both={:.4f} "
      "closeout_worth_reads={:.4f} "
      "ajp_cpu_us_per_op={:.1f} rpc_cpu_us_per_op={:.1f} fuzz_execs={}\n",
      sum(&TrialResult::unanswered), sum(&TrialResult::late), sum(&TrialResult::duplicated),
      sum(&TrialResult::violations), flooded.served_close_share(), normal.served_close_share(),
      flooded.served_close_share_of_both(), read_flooded.served_close_share(), cpu_us_per_request(only_ajp),
      cpu_us_per_request(only_rpc), execs);
  return 0;
}

// Fleets of hollow members beside real processes of the program, on sockets; and simulations of the same
// membership view at sizes that are too large for the processors of one machine.
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <thread>

#include "decision_load.h"
#include "fleet.h"
#include "hollow.h"
#include "members_sim.h"
#include "process.h"
#include "scale.h"
#include "synthetic_site.h"
#include "wire/members.h"

namespace damsonspoke::bench {
namespace {

using namespace standins;

const char* const kBinary = DAMSONSPOKE_BINARY;
constexpr int kRealProcesses = 12;
constexpr double kSampleSeconds = 5;  // of a measurement after a loss of members
const char* const kNamePrefix = "backend-";
constexpr int kBackends = 2300, kDeadMembers = 742;  // deaths of two hours; docs/CAPACITY.md
constexpr int kSimulatedSamples = 24;

// Processes of the program without callers, which only take part in membership.
class RealMembers {
 public:
  RealMembers(Loop& loop, std::uint64_t seed, const std::vector<std::string>& seeds) {
    for (int i = 0; i < kRealProcesses; ++i) {
      const std::string config = folder_.path(fmt::format("config-{}", i));
      const std::string operators = folder_.path(fmt::format("operator-{}", i));
      std::string text = synthetic_config({3, 0});
      text.replace(text.find("hollow"), 6, fmt::format("real-{}", i));
      std::ofstream(config) << text;
      const std::string at = fmt::format("127.{}.240.{}:{}", 20 + seed % 200, 1 + i, HollowMembers::kPort);
      std::ofstream(operators) << fmt::format(
          "members\n    bind {0}\n    face {0}\n    cluster hollow\n    seeds {1}\n    peers 127.0.0.0/8\n",
          at, fmt::join(seeds, " "));
      processes_.push_back(std::make_unique<Process>(
          loop, std::vector<std::string>{kBinary, "serve", "--config", config, "--operator", operators}));
    }
  }

  struct Totals {
    double processor_seconds = 0, bytes = 0, resident_kb = 0, alive = 0;
  };
  Totals totals() {
    Totals out;
    for (const auto& process : processes_) {
      out.processor_seconds += process->processor_time();
      out.resident_kb = std::max(out.resident_kb, static_cast<double>(process->resident_kb()));
      auto counters = process->counters();
      out.bytes += static_cast<double>(counters["members.bytes"]);
      out.alive += static_cast<double>(counters["members.alive"]) / kRealProcesses;
    }
    return out;
  }

 private:
  TemporaryFolder folder_;
  std::vector<std::unique_ptr<Process>> processes_;
};

struct Rates {
  double bytes_per_second = 0, hollow_share = 0, real_share = 0;  // bytes per member; shares of a core
};

// Measures the rates over the next seconds.
Rates measure_rates(Loop& loop, HollowMembers& hollow, RealMembers& real, double seconds) {
  const HollowMembers::Totals hollow_before = hollow.totals();
  const RealMembers::Totals real_before = real.totals();
  const double began = now();
  loop.run_for(seconds);
  const HollowMembers::Totals hollow_after = hollow.totals();
  const RealMembers::Totals real_after = real.totals();
  const double took = now() - began;
  Rates out;
  out.bytes_per_second =
      (static_cast<double>(hollow_after.bytes - hollow_before.bytes) + real_after.bytes - real_before.bytes) /
      (hollow_after.running + kRealProcesses) / took;
  out.hollow_share =
      (hollow_after.processor_seconds - hollow_before.processor_seconds) / hollow_after.running / took;
  out.real_share = (real_after.processor_seconds - real_before.processor_seconds) / kRealProcesses / took;
  return out;
}

struct FleetFigures {
  Rates calm;
  double convergence_seconds = -1;  // < 0: not within the timeout
  double resident_kb = 0;
};

void measure_loss(Loop& loop, HollowMembers& hollow, RealMembers& real, int members, Figures& figures) {
  std::vector<int> killed;
  for (int i = 3; i < members - kRealProcesses; i += 6) killed.push_back(i);
  const auto remaining = static_cast<std::size_t>(members) - killed.size();
  hollow.kill(killed);
  const double began = now();
  double max_bytes = 0, detected_after = -1;
  for (int sample = 0; sample < 9; ++sample) {
    const Rates rates = measure_rates(loop, hollow, real, kSampleSeconds);
    const HollowMembers::Totals totals = hollow.totals();
    if (detected_after < 0 && totals.max_alive <= remaining) detected_after = now() - began;
    max_bytes = std::max(max_bytes, rates.bytes_per_second);
    fmt::print(
        "    {:>4.0f} s after {} ended: {:>7.0f} bytes/s per member, {:.2f}% of a core (real {:.2f}%), sees "
        "{} "
        "to {}\n",
        now() - began, killed.size(), rates.bytes_per_second, 100 * rates.hollow_share,
        100 * rates.real_share, totals.min_alive, totals.max_alive);
  }
  figures[fmt::format("bytes_per_s_loss_{}", members)] = max_bytes;
  figures[fmt::format("loss_found_s_{}", members)] = detected_after;
}

FleetFigures measure_fleet(int members, const ScaleOptions& options, Figures& figures) {
  FleetFigures out;
  Loop loop;
  HollowMembers::Options hollow_options;
  hollow_options.count = members - kRealProcesses;
  hollow_options.seed = options.seed + static_cast<std::uint64_t>(members);
  hollow_options.starts_per_second = options.starts_per_second;
  HollowMembers hollow(hollow_options);
  hollow.start();
  RealMembers real(loop, hollow_options.seed, hollow.seed_addresses());
  const double began = now();
  HollowMembers::Totals totals;
  while (now() - began < options.convergence_timeout) {
    loop.run_for(1);
    totals = hollow.totals();
    if (std::getenv("SCALE_TRACE") != nullptr)
      fmt::print("    {:.0f} s: {} up, see {} to {}\n", now() - began, totals.running, totals.min_alive,
                 totals.max_alive);
    if (hollow.all_started() && totals.min_alive == static_cast<std::size_t>(members)) break;
  }
  if (totals.min_alive == static_cast<std::size_t>(members)) out.convergence_seconds = now() - began;
  loop.run_for(5);
  out.calm = measure_rates(loop, hollow, real, options.seconds);
  out.resident_kb = real.totals().resident_kb;
  totals = hollow.totals();
  fmt::print(
      "  {:>4} members: {} see {} to {}{}; calm {:.0f} bytes/s per member, {:.3f}% of a core (real {:.3f}%), "
      "{:.1f} MB resident\n",
      members, totals.running, totals.min_alive, totals.max_alive,
      out.convergence_seconds < 0
          ? fmt::format(", not all of them within {:.0f} s", options.convergence_timeout)
          : fmt::format(", all of them after {:.0f} s", out.convergence_seconds),
      out.calm.bytes_per_second, 100 * out.calm.hollow_share, 100 * out.calm.real_share,
      out.resident_kb / 1024);
  if (members <= options.max_members_in_loss) measure_loss(loop, hollow, real, members, figures);
  return out;
}

// A simulated fleet in which a sixth of the members end at once. Prints the bytes per second and member in
// each interval of 5 s.
void simulate_loss(int members, std::uint64_t seed, Figures& figures) {
  MembersSim::Options options;
  options.count = members, options.seed = seed, options.loss = 0.01, options.name_prefix = kNamePrefix;
  MembersSim sim(options);
  sim.start_all(true);
  sim.run_until(10);
  sim.reset_traffic();
  const double began = thread_processor_time();
  sim.run_until(20);
  const double us = (thread_processor_time() - began) * 1e6 / 10 / members;
  const double calm = sim.bytes_per_member_second();
  fmt::print(
      "  {:>4} members, simulated: calm {:.0f} bytes/s per member, {:.0f} us of processor time per second;",
      members, calm, us);
  for (int i = 0; i < members; i += 6) sim.kill(i);
  double max_bytes = 0, converged_after = -1;
  for (int sample = 1; sample <= kSimulatedSamples; ++sample) {
    sim.reset_traffic();
    sim.run_until(20 + 5 * sample);
    // The mean counts the dead members too, which send nothing.
    const double bytes = sim.bytes_per_member_second() * 6 / 5;
    max_bytes = std::max(max_bytes, bytes);
    fmt::print(" {:.0f} ({:.0f})", bytes, sim.push_pull_bytes_per_member_second() * 6 / 5);
    if (converged_after < 0 && sim.views_agree()) converged_after = 5 * sample;
  }
  std::vector<double> detection_seconds;
  for (const MembersSim::Death& death : sim.deaths())
    detection_seconds.insert(detection_seconds.end(), death.found.begin(), death.found.end());
  const double detection_p50 = quantile(detection_seconds, 0.5),
               detection_p99 = quantile(detection_seconds, 0.99);
  fmt::print(
      " bytes/s in each 5 s after a sixth ended (push-pulls in parentheses); deaths detected after p50 "
      "{:.1f}, "
      "p99 {:.1f} "
      "s, views agree after {:.0f} s, {} false deaths\n",
      detection_p50, detection_p99, converged_after, sim.false_deaths().size());
  figures[fmt::format("death_known_s_p99_simulated_{}", members)] = detection_p99;
  figures[fmt::format("one_view_s_loss_simulated_{}", members)] = converged_after;
  figures[fmt::format("bytes_per_s_calm_simulated_{}", members)] = calm;
  figures[fmt::format("bytes_per_s_loss_simulated_{}", members)] = max_bytes;
}

}  // namespace

void measure_members(const ScaleOptions& options, Figures& figures) {
  fmt::print("Fleets on sockets, {} real processes among them:\n", kRealProcesses);
  std::vector<std::pair<double, double>> bytes, share, memory;
  for (const int members : options.fleet_sizes) {
    const FleetFigures fleet = measure_fleet(members, options, figures);
    bytes.emplace_back(members, fleet.calm.bytes_per_second);
    share.emplace_back(members, 100 * fleet.calm.hollow_share);
    memory.emplace_back(members, fleet.resident_kb / 1024);
    figures[fmt::format("bytes_per_s_calm_{}", members)] = fleet.calm.bytes_per_second;
    figures[fmt::format("core_share_calm_{}", members)] = fleet.calm.hollow_share;
    figures[fmt::format("converged_s_{}", members)] = fleet.convergence_seconds;
  }
  print_forecast("bytes/s per member", "bytes/s", bytes);
  print_forecast("share of a core per member", "%", share);
  print_forecast("resident memory of a real process", "MB", memory);
  figures["hollow"] = options.fleet_sizes.back() - kRealProcesses;
  figures["real"] = kRealProcesses;
}

namespace {

// A member's record as in the operators' fleet. The record of a dead member has no load report.
members::Record record_at_size(int number, bool is_dead) {
  members::Record record;
  record.name = fmt::format("backend-{:05}", number);
  record.address = fmt::format("10.{}.{}.{}:7946", number % 3, number / 250, number % 250);
  record.epoch = (1796000000000ULL + static_cast<std::uint64_t>(number) * 977) << 12;
  record.incarnation = static_cast<std::uint32_t>(number % 7);
  if (is_dead) {
    record.condition = members::Condition::kDead;
    return record;
  }
  record.load_report.role = "relay";
  record.load_report.zone = fmt::format("region-{}/zone-{}", number % 3, number % 6);
  record.load_report.build = "0.3.0";
  record.load_report.service_address = record.address;
  record.load_report.version = 7;
  record.load_report.load_permille = 400;
  record.load_report.free_capacity = 12;
  record.load_report_age_ms = 1500;
  return record;
}

std::vector<members::Record> records_at_size(int alive, int dead) {
  std::vector<members::Record> records;
  for (int i = 0; i < alive + dead; ++i) records.push_back(record_at_size(i, i >= alive));
  return records;
}

struct PushPullCosts {
  double bytes = 0, encode_ms = 0, decode_ms = 0;  // processor time; each blocks the reactor once
  std::size_t decoded_records = 0;
};

PushPullCosts measure_push_pull_costs(int alive, int dead, int rounds) {
  const std::vector<members::Record> records = records_at_size(alive, dead);
  PushPullCosts out;
  std::vector<double> encode, decode;
  for (int i = 0; i < rounds; ++i) {
    const double began = thread_processor_time();
    const std::string bytes = wire::members::encode_push_pull("fleet", records);
    const double encoded = thread_processor_time();
    out.decoded_records = wire::members::decode_push_pull("fleet", bytes).records.size();
    decode.push_back(1000 * (thread_processor_time() - encoded));
    encode.push_back(1000 * (encoded - began));
    out.bytes = static_cast<double>(bytes.size());
  }
  out.encode_ms = median(encode);
  out.decode_ms = median(decode);
  return out;
}

}  // namespace

// Bytes and processor time of one direction of a push-pull, by the number of known members; at the size of
// the operators' fleet with the members that died within two hours.
void measure_push_pull(const ScaleOptions& options, Figures& figures) {
  fmt::print("One direction of a push-pull:\n");
  std::vector<std::pair<double, double>> bytes, time;
  for (const int count : {100, 300, 1000, 1800}) {
    const PushPullCosts costs = measure_push_pull_costs(count, 0, options.rounds);
    bytes.emplace_back(count, costs.bytes);
    time.emplace_back(count, costs.encode_ms + costs.decode_ms);
  }
  print_forecast("bytes", "bytes", bytes);
  print_forecast("encoding and decoding", "ms", time);
  const Forecast line = forecast(bytes);
  const double records_that_fit =
      (static_cast<double>(wire::members::kMaxPushPullBytes) - line.base) / line.slope;
  const PushPullCosts full_size = measure_push_pull_costs(kBackends, kDeadMembers, options.rounds);
  fmt::print(
      "  {:.0f} bytes per record; {:.0f} fit into the limit of {}; {} alive and {} dead: {:.0f} bytes, {} "
      "decoded, {:.1f} "
      "ms to encode, {:.1f} ms to decode\n",
      line.slope, records_that_fit, wire::members::kMaxPushPullBytes, kBackends, kDeadMembers,
      full_size.bytes, full_size.decoded_records, full_size.encode_ms, full_size.decode_ms);
  figures["bytes_per_record"] = line.slope;
  figures["records_that_fit"] = records_that_fit;
  figures["exchange_bytes_at_size"] = full_size.bytes;
  figures["exchange_records_at_size"] = static_cast<double>(full_size.decoded_records);
  figures["exchange_encode_ms"] = full_size.encode_ms;
  figures["exchange_decode_ms"] = full_size.decode_ms;
}

namespace {

constexpr int kSimulatedMembers = 600;

std::unique_ptr<MembersSim> simulated_fleet(std::uint64_t seed) {
  MembersSim::Options options;
  options.count = kSimulatedMembers, options.seed = seed, options.loss = 0.01,
  options.name_prefix = kNamePrefix, options.encode_one_in = 200;
  return std::make_unique<MembersSim>(options);
}

double bytes_over(MembersSim& sim, double seconds) {
  sim.reset_traffic();
  sim.run_until(sim.now() + seconds);
  return sim.bytes_per_member_second();
}

void simulate_partition(std::uint64_t seed, Figures& figures) {
  const auto sim = simulated_fleet(seed);
  bool is_partitioned = false;
  sim->is_cut = [&](int a, int b) { return is_partitioned && (a % 3 == 0) != (b % 3 == 0); };
  sim->start_all(true);
  sim->run_until(10);
  const double calm = bytes_over(*sim, 10);
  is_partitioned = true;
  double max_bytes = 0, max_bytes_after = 0, agreed_after = -1;
  for (int i = 0; i < 12; ++i) max_bytes = std::max(max_bytes, bytes_over(*sim, 10));
  is_partitioned = false;
  for (int i = 0; i < 24 && agreed_after < 0; ++i) {
    max_bytes_after = std::max(max_bytes_after, bytes_over(*sim, 5));
    if (sim->views_agree()) agreed_after = 5 * (i + 1);
  }
  fmt::print(
      "  one of three regions partitioned for 120 s: calm {:.0f}, at most {:.0f} during it, {:.0f} after it, "
      "views "
      "agree after {:.0f} s\n",
      calm, max_bytes, max_bytes_after, agreed_after);
  figures["bytes_per_s_apart"] = max_bytes;
  figures["bytes_per_s_together"] = max_bytes_after;
  figures["one_view_s"] = agreed_after;
}

void simulate_pauses(std::uint64_t seed, Figures& figures) {
  const auto sim = simulated_fleet(seed);
  sim->start_all(true);
  sim->run_until(10);
  for (int i = 0; i < kSimulatedMembers; i += 3) sim->pause(i, 2);
  double max_bytes = 0;
  for (int i = 0; i < 6; ++i) max_bytes = std::max(max_bytes, bytes_over(*sim, 5));
  fmt::print("  a third paused for 2 s: at most {:.0f}, {} false deaths\n", max_bytes,
             sim->false_deaths().size());
  figures["bytes_per_s_paused"] = max_bytes;
  figures["dead_in_pauses"] += static_cast<double>(sim->false_deaths().size());
}

void simulate_restarts(std::uint64_t seed, Figures& figures) {
  const auto sim = simulated_fleet(seed);
  sim->start_all(true);
  sim->run_until(10);
  double max_bytes = 0;
  for (int i = 0; i < kSimulatedMembers / 20; ++i) {
    const int member = i * 7 % kSimulatedMembers;
    sim->kill(member);
    max_bytes = std::max(max_bytes, bytes_over(*sim, 1));
    sim->start(member);
    max_bytes = std::max(max_bytes, bytes_over(*sim, 1));
  }
  fmt::print("  one in twenty restarted in a minute: at most {:.0f} in a second, {} false deaths\n",
             max_bytes, sim->false_deaths().size());
  figures["bytes_per_s_restarts"] = max_bytes;
}

// A fleet whose members start at once and know only three seeds.
void simulate_cold_start(int members, std::uint64_t seed, Figures& figures) {
  MembersSim::Options options;
  options.count = members, options.seed = seed, options.loss = 0.01, options.name_prefix = kNamePrefix,
  options.encode_one_in = 200;
  MembersSim sim(options);
  sim.start_all(false);
  double max_bytes = 0;
  bool has_converged = false;
  while (sim.now() < 300 && !has_converged) {
    max_bytes = std::max(max_bytes, bytes_over(sim, 10));
    has_converged = sim.views_agree();
  }
  fmt::print("  {} members started at once that know only seeds: {} after {:.0f} s, at most {:.0f}\n",
             members, has_converged ? "views agree" : "views differ", sim.now(), max_bytes);
  figures[fmt::format("strangers_one_view_s_{}", members)] = has_converged ? sim.now() : -1;
}

}  // namespace

void measure_simulated_faults(const ScaleOptions& options, Figures& figures) {
  fmt::print("{} simulated members, 1% of datagrams lost, bytes/s per member:\n", kSimulatedMembers);
  simulate_partition(options.seed, figures);
  simulate_restarts(options.seed, figures);
  for (const int members : {300, 1000, 2300}) simulate_cold_start(members, options.seed, figures);
}

void measure_simulated_pauses(const ScaleOptions& options, Figures& figures) {
  fmt::print("{} simulated members, 1% of datagrams lost, bytes/s per member:\n", kSimulatedMembers);
  for (int i = 0; i < options.rounds; ++i)
    simulate_pauses(options.seed + static_cast<std::uint64_t>(i), figures);
}

void measure_simulated_members(const ScaleOptions& options, Figures& figures) {
  fmt::print("Simulated fleets, 1% of datagrams lost:\n");
  for (const int members : options.simulated_sizes) simulate_loss(members, options.seed, figures);
}

}  // namespace damsonspoke::bench

// Fleets of hollow members beside real processes of the program, on sockets; and the same view simulated, at
// sizes that one machine's processors do not carry.
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
constexpr int kReal = 12;    // processes of the program
constexpr double kLook = 5;  // s; of one look at bytes and time after a loss
const char* const kLongNames = "backend-";
constexpr int kBackends = 2300, kDeadOfTwoHours = 742;  // docs/CAPACITY.md
constexpr int kSimulatedLooks = 24;

// Processes that serve nobody and take part in membership.
class RealMembers {
 public:
  RealMembers(Loop& loop, std::uint64_t seed, const std::vector<std::string>& seeds) {
    for (int i = 0; i < kReal; ++i) {
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

  struct Sums {
    double processor_seconds = 0, bytes = 0, resident_kb = 0, there = 0;
  };
  Sums sums() {
    Sums out;
    for (const auto& process : processes_) {
      out.processor_seconds += process->processor_time();
      out.resident_kb = std::max(out.resident_kb, static_cast<double>(process->resident_kb()));
      auto counters = process->counters();
      out.bytes += static_cast<double>(counters["members.bytes"]);
      out.there += static_cast<double>(counters["members.alive"]) / kReal;
    }
    return out;
  }

 private:
  TemporaryFolder folder_;
  std::vector<std::unique_ptr<Process>> processes_;
};

struct Rates {
  double bytes = 0, hollow_share = 0, real_share = 0;  // a member and second; shares of a core
};

// Watches for so long.
Rates rates_over(Loop& loop, HollowMembers& hollow, RealMembers& real, double seconds) {
  const HollowMembers::Totals h = hollow.totals();
  const RealMembers::Sums r = real.sums();
  const double begin = now();
  loop.run_for(seconds);
  const HollowMembers::Totals h2 = hollow.totals();
  const RealMembers::Sums r2 = real.sums();
  const double took = now() - begin;
  Rates out;
  out.bytes = (static_cast<double>(h2.bytes - h.bytes) + r2.bytes - r.bytes) / (h2.running + kReal) / took;
  out.hollow_share = (h2.processor_seconds - h.processor_seconds) / h2.running / took;
  out.real_share = (r2.processor_seconds - r.processor_seconds) / kReal / took;
  return out;
}

struct FleetFigures {
  Rates calm;
  double converged = -1;  // s; < 0: not within the time
  double resident_kb = 0;
};

void lose_a_sixth(Loop& loop, HollowMembers& hollow, RealMembers& real, int members, Figures& figures) {
  std::vector<int> lost;
  for (int i = 3; i < members - kReal; i += 6) lost.push_back(i);
  const auto left = static_cast<std::size_t>(members) - lost.size();
  hollow.kill(lost);
  const double begin = now();
  double most = 0, found = -1;
  for (int look = 0; look < 9; ++look) {
    const Rates rates = rates_over(loop, hollow, real, kLook);
    const HollowMembers::Totals sums = hollow.totals();
    if (found < 0 && sums.max_alive <= left) found = now() - begin;
    most = std::max(most, rates.bytes);
    fmt::print(
        "    {:>4.0f} s after {} ended: {:>7.0f} bytes/s a member, {:.2f}% of a core (real {:.2f}%), sees {} "
        "to {}\n",
        now() - begin, lost.size(), rates.bytes, 100 * rates.hollow_share, 100 * rates.real_share,
        sums.min_alive, sums.max_alive);
  }
  figures[fmt::format("bytes_per_s_loss_{}", members)] = most;
  figures[fmt::format("loss_found_s_{}", members)] = found;
}

FleetFigures fleet_of(int members, const ScaleOptions& options, Figures& figures) {
  FleetFigures out;
  Loop loop;
  HollowMembers::Options hollow_options;
  hollow_options.count = members - kReal;
  hollow_options.seed = options.seed + static_cast<std::uint64_t>(members);
  hollow_options.starts_per_second = options.joins_per_s;
  HollowMembers hollow(hollow_options);
  hollow.start();
  RealMembers real(loop, hollow_options.seed, hollow.seed_addresses());
  const double begin = now();
  HollowMembers::Totals sums;
  while (now() - begin < options.converge) {
    loop.run_for(1);
    sums = hollow.totals();
    if (std::getenv("SCALE_TRACE") != nullptr)
      fmt::print("    {:.0f} s: {} up, see {} to {}\n", now() - begin, sums.running, sums.min_alive,
                 sums.max_alive);
    if (hollow.all_started() && sums.min_alive == static_cast<std::size_t>(members)) break;
  }
  if (sums.min_alive == static_cast<std::size_t>(members)) out.converged = now() - begin;
  loop.run_for(5);
  out.calm = rates_over(loop, hollow, real, options.seconds);
  out.resident_kb = real.sums().resident_kb;
  sums = hollow.totals();
  fmt::print(
      "  {:>4} members: {} see {} to {}{}; calm {:.0f} bytes/s a member, {:.3f}% of a core (real {:.3f}%), "
      "{:.1f} MB resident\n",
      members, sums.running, sums.min_alive, sums.max_alive,
      out.converged < 0 ? fmt::format(", not all of them within {:.0f} s", options.converge)
                        : fmt::format(", all of them after {:.0f} s", out.converged),
      out.calm.bytes, 100 * out.calm.hollow_share, 100 * out.calm.real_share, out.resident_kb / 1024);
  if (members <= options.largest_loss) lose_a_sixth(loop, hollow, real, members, figures);
  return out;
}

// A simulated fleet that loses a sixth at once; bytes a member and second, by fifths of a minute.
void simulated_loss(int members, std::uint64_t seed, Figures& figures) {
  MembersSim::Options options;
  options.count = members, options.seed = seed, options.loss = 0.01, options.name_prefix = kLongNames;
  MembersSim sim(options);
  sim.start_all(true);
  sim.run_until(10);
  sim.reset_traffic();
  const double begin = thread_processor_time();
  sim.run_until(20);
  const double us = (thread_processor_time() - begin) * 1e6 / 10 / members;
  const double calm = sim.bytes_per_member_second();
  fmt::print("  {:>4} members, simulated: calm {:.0f} bytes/s a member, {:.0f} us a second;", members, calm,
             us);
  for (int i = 0; i < members; i += 6) sim.kill(i);
  double most = 0, one_view = -1;
  for (int look = 1; look <= kSimulatedLooks; ++look) {
    sim.reset_traffic();
    sim.run_until(20 + 5 * look);
    // The dead send nothing, and are counted among the fleet.
    const double bytes = sim.bytes_per_member_second() * 6 / 5;
    most = std::max(most, bytes);
    fmt::print(" {:.0f} ({:.0f})", bytes, sim.push_pull_bytes_per_member_second() * 6 / 5);
    if (one_view < 0 && sim.views_agree()) one_view = 5 * look;
  }
  std::vector<double> found;
  for (const MembersSim::Death& death : sim.deaths())
    found.insert(found.end(), death.found.begin(), death.found.end());
  const double found_p50 = quantile(found, 0.5), found_p99 = quantile(found, 0.99);
  fmt::print(
      " bytes/s in each 5 s after a sixth ended (of them exchanges); a death is known after p50 {:.1f}, p99 "
      "{:.1f} "
      "s, one view after {:.0f} s, {} called dead that were not\n",
      found_p50, found_p99, one_view, sim.false_deaths().size());
  figures[fmt::format("death_known_s_p99_simulated_{}", members)] = found_p99;
  figures[fmt::format("one_view_s_loss_simulated_{}", members)] = one_view;
  figures[fmt::format("bytes_per_s_calm_simulated_{}", members)] = calm;
  figures[fmt::format("bytes_per_s_loss_simulated_{}", members)] = most;
}

}  // namespace

void measure_members(const ScaleOptions& options, Figures& figures) {
  fmt::print("Fleets on sockets, {} real processes among them:\n", kReal);
  std::vector<std::pair<double, double>> bytes, share, memory;
  for (const int members : options.fleets) {
    const FleetFigures fleet = fleet_of(members, options, figures);
    bytes.emplace_back(members, fleet.calm.bytes);
    share.emplace_back(members, 100 * fleet.calm.hollow_share);
    memory.emplace_back(members, fleet.resident_kb / 1024);
    figures[fmt::format("bytes_per_s_calm_{}", members)] = fleet.calm.bytes;
    figures[fmt::format("core_share_calm_{}", members)] = fleet.calm.hollow_share;
    figures[fmt::format("converged_s_{}", members)] = fleet.converged;
  }
  print_forecast("bytes/s a member", "bytes/s", bytes);
  print_forecast("share of a core a member", "%", share);
  print_forecast("resident of a real process", "MB", memory);
  figures["hollow"] = options.fleets.back() - kReal;
  figures["real"] = kReal;
}

namespace {

// What a member of the users' fleet tells; one that is dead tells nothing any more.
members::Record record_at_size(int number, bool dead) {
  members::Record record;
  record.name = fmt::format("backend-{:05}", number);
  record.address = fmt::format("10.{}.{}.{}:7946", number % 3, number / 250, number % 250);
  record.epoch = (1796000000000ULL + static_cast<std::uint64_t>(number) * 977) << 12;
  record.incarnation = static_cast<std::uint32_t>(number % 7);
  if (dead) {
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

std::vector<members::Record> records_at_size(int there, int dead) {
  std::vector<members::Record> records;
  for (int i = 0; i < there + dead; ++i) records.push_back(record_at_size(i, i >= there));
  return records;
}

struct ExchangeCosts {
  double bytes = 0, encode_ms = 0, decode_ms = 0;  // processor time; each holds the reactor once
  std::size_t read = 0;                            // records that arrive
};

ExchangeCosts exchange_costs(int there, int dead, int rounds) {
  const std::vector<members::Record> records = records_at_size(there, dead);
  ExchangeCosts out;
  std::vector<double> encode, decode;
  for (int i = 0; i < rounds; ++i) {
    const double begin = thread_processor_time();
    const std::string bytes = wire::members::encode_push_pull("fleet", records);
    const double encoded = thread_processor_time();
    out.read = wire::members::decode_push_pull("fleet", bytes).records.size();
    decode.push_back(1000 * (thread_processor_time() - encoded));
    encode.push_back(1000 * (encoded - begin));
    out.bytes = static_cast<double>(bytes.size());
  }
  out.encode_ms = median(encode);
  out.decode_ms = median(decode);
  return out;
}

}  // namespace

// What one side of a full exchange holds and costs, by the members that one knows; at the users' size with
// the dead of two hours.
void measure_exchange(const ScaleOptions& options, Figures& figures) {
  fmt::print("One side of a full exchange:\n");
  std::vector<std::pair<double, double>> bytes, time;
  for (const int count : {100, 300, 1000, 1800}) {
    const ExchangeCosts costs = exchange_costs(count, 0, options.rounds);
    bytes.emplace_back(count, costs.bytes);
    time.emplace_back(count, costs.encode_ms + costs.decode_ms);
  }
  print_forecast("bytes", "bytes", bytes);
  print_forecast("written and read", "ms", time);
  const Forecast line = forecast(bytes);
  const double fit = (static_cast<double>(wire::members::kMaxPushPullBytes) - line.base) / line.slope;
  const ExchangeCosts whole = exchange_costs(kBackends, kDeadOfTwoHours, options.rounds);
  fmt::print(
      "  {:.0f} bytes a record; {:.0f} fit into the bound of {}; {} there and {} dead: {:.0f} bytes, {} "
      "arrive, {:.1f} "
      "ms to write, {:.1f} ms to read\n",
      line.slope, fit, wire::members::kMaxPushPullBytes, kBackends, kDeadOfTwoHours, whole.bytes, whole.read,
      whole.encode_ms, whole.decode_ms);
  figures["bytes_per_record"] = line.slope;
  figures["records_that_fit"] = fit;
  figures["exchange_bytes_at_size"] = whole.bytes;
  figures["exchange_records_at_size"] = static_cast<double>(whole.read);
  figures["exchange_encode_ms"] = whole.encode_ms;
  figures["exchange_decode_ms"] = whole.decode_ms;
}

namespace {

constexpr int kFaultyFleet = 600;  // members

std::unique_ptr<MembersSim> faulty_fleet(std::uint64_t seed) {
  MembersSim::Options options;
  options.count = kFaultyFleet, options.seed = seed, options.loss = 0.01, options.name_prefix = kLongNames,
  options.encode_one_in = 200;
  return std::make_unique<MembersSim>(options);
}

double bytes_over(MembersSim& sim, double seconds) {
  sim.reset_traffic();
  sim.run_until(sim.now() + seconds);
  return sim.bytes_per_member_second();
}

void regions_apart(std::uint64_t seed, Figures& figures) {
  const auto sim = faulty_fleet(seed);
  bool apart = false;
  sim->is_cut = [&](int a, int b) { return apart && (a % 3 == 0) != (b % 3 == 0); };
  sim->start_all(true);
  sim->run_until(10);
  const double calm = bytes_over(*sim, 10);
  apart = true;
  double most = 0, after = 0, again = -1;
  for (int i = 0; i < 12; ++i) most = std::max(most, bytes_over(*sim, 10));
  apart = false;
  for (int i = 0; i < 24 && again < 0; ++i) {
    after = std::max(after, bytes_over(*sim, 5));
    if (sim->views_agree()) again = 5 * (i + 1);
  }
  fmt::print(
      "  a region of three apart for 120 s: calm {:.0f}, most {:.0f} apart, {:.0f} together again, one view "
      "after "
      "{:.0f} s\n",
      calm, most, after, again);
  figures["bytes_per_s_apart"] = most;
  figures["bytes_per_s_together"] = after;
  figures["one_view_s"] = again;
}

void third_paused(std::uint64_t seed, Figures& figures) {
  const auto sim = faulty_fleet(seed);
  sim->start_all(true);
  sim->run_until(10);
  for (int i = 0; i < kFaultyFleet; i += 3) sim->pause(i, 2);
  double most = 0;
  for (int i = 0; i < 6; ++i) most = std::max(most, bytes_over(*sim, 5));
  fmt::print("  a third paused for 2 s: most {:.0f}, {} called dead that were not\n", most,
             sim->false_deaths().size());
  figures["bytes_per_s_paused"] = most;
  figures["dead_in_pauses"] += static_cast<double>(sim->false_deaths().size());
}

void one_in_twenty_restarted(std::uint64_t seed, Figures& figures) {
  const auto sim = faulty_fleet(seed);
  sim->start_all(true);
  sim->run_until(10);
  double most = 0;
  for (int i = 0; i < kFaultyFleet / 20; ++i) {
    const int member = i * 7 % kFaultyFleet;
    sim->kill(member);
    most = std::max(most, bytes_over(*sim, 1));
    sim->start(member);
    most = std::max(most, bytes_over(*sim, 1));
  }
  fmt::print("  one in twenty restarted in a minute: most {:.0f} in a second, {} called dead that were not\n",
             most, sim->false_deaths().size());
  figures["bytes_per_s_restarts"] = most;
}

// A fleet that comes up at once and knows three seeds.
void strangers(int members, std::uint64_t seed, Figures& figures) {
  MembersSim::Options options;
  options.count = members, options.seed = seed, options.loss = 0.01, options.name_prefix = kLongNames,
  options.encode_one_in = 200;
  MembersSim sim(options);
  sim.start_all(false);
  double most = 0;
  bool same = false;
  while (sim.now() < 300 && !same) {
    most = std::max(most, bytes_over(sim, 10));
    same = sim.views_agree();
  }
  fmt::print("  {} strangers that come up at once: {} after {:.0f} s, most {:.0f}\n", members,
             same ? "one view" : "not one view", sim.now(), most);
  figures[fmt::format("strangers_one_view_s_{}", members)] = same ? sim.now() : -1;
}

}  // namespace

void measure_simulated_faults(const ScaleOptions& options, Figures& figures) {
  fmt::print("{} members simulated, 1% of datagrams lost, bytes/s a member:\n", kFaultyFleet);
  regions_apart(options.seed, figures);
  one_in_twenty_restarted(options.seed, figures);
  for (const int members : {300, 1000, 2300}) strangers(members, options.seed, figures);
}

void measure_simulated_pauses(const ScaleOptions& options, Figures& figures) {
  fmt::print("{} members simulated, 1% of datagrams lost, bytes/s a member:\n", kFaultyFleet);
  for (int i = 0; i < options.rounds; ++i)
    third_paused(options.seed + static_cast<std::uint64_t>(i), figures);
}

void measure_simulated_members(const ScaleOptions& options, Figures& figures) {
  fmt::print("Fleets simulated, 1% of datagrams lost:\n");
  for (const int members : options.simulated) simulated_loss(members, options.seed, figures);
}

}  // namespace damsonspoke::bench

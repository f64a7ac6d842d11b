#include "hollow.h"

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <future>
#include <mutex>

#include "conns/prefix.h"
#include "decision_load.h"

namespace damsonspoke::standins {
namespace {

constexpr int kSeedMembers = 3;
// The default values of the operators' directives.
constexpr double kProbeIntervalSeconds = 0.3;
constexpr double kSuspicionSeconds = 2;
constexpr double kDeadRetentionSeconds = 7200;
constexpr std::uint64_t kFirstEpoch = 1000;
constexpr std::uint64_t kSeedFactor =
    100003;  // gives members of fleets with different seeds different random seeds

}  // namespace

struct HollowMembers::Worker {
  net::Reactor reactor;
  Counters counters;
  Logger log{Level::kError};
  std::map<int, std::unique_ptr<peers::MembershipTransport>> members;
  std::thread thread;

  // Runs a task on the worker's thread and waits for it.
  template <typename Work>
  void run(Work&& work) {
    std::promise<void> done;
    reactor.post_from_other_thread([&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }
};

std::string HollowMembers::address(std::uint64_t seed, int number) {
  return fmt::format("127.{}.{}.{}:{}", 20 + seed % 200, number / 250, 1 + number % 250, kPort);
}

HollowMembers::HollowMembers(Options options) : options_(std::move(options)) {
  for (int i = 0; i < options_.threads; ++i) {
    workers_.push_back(std::make_unique<Worker>());
    Worker* worker = workers_.back().get();
    worker->thread = std::thread([worker] { worker->reactor.run(); });
  }
}

HollowMembers::~HollowMembers() {
  for (const auto& worker : workers_) {
    worker->run([&] { worker->members.clear(); });
    worker->reactor.post_from_other_thread([&] { worker->reactor.stop(); });
    worker->thread.join();
  }
}

std::vector<std::string> HollowMembers::seed_addresses() const {
  const int count = std::min(kSeedMembers, options_.count);
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) addresses.push_back(address(options_.seed, i));
  return addresses;
}

void HollowMembers::start() {
  std::vector<std::string> seeds = seed_addresses();
  seeds.insert(seeds.end(), options_.seeds.begin(), options_.seeds.end());
  for (int i = 0; i < options_.count; ++i) {
    Worker* worker = workers_[static_cast<std::size_t>(i) % workers_.size()].get();
    worker->reactor.post_from_other_thread([this, worker, i, seeds] {
      worker->reactor.after(i / options_.starts_per_second,
                            [this, worker, i, seeds] { start_member(*worker, i, seeds); });
    });
  }
}

void HollowMembers::start_member(Worker& worker, int number, const std::vector<std::string>& seeds) {
  MembersOptions options;
  options.bind = address(options_.seed, number);
  options.advertised_address = options.bind;
  options.cluster = options_.cluster;
  options.seeds = seeds;
  options.peers = {*conns::parse_prefix("127.0.0.0/8")};
  options.probe_interval = kProbeIntervalSeconds;
  options.suspicion_timeout = kSuspicionSeconds;
  options.dead_retention = kDeadRetentionSeconds;
  const auto index = static_cast<std::uint64_t>(number);
  auto member = std::make_unique<peers::MembershipTransport>(
      worker.reactor, options, fmt::format("hollow-{:04}", number), kFirstEpoch + index,
      options_.seed * kSeedFactor + index, worker.counters, worker.log);
  member->start();
  worker.members[number] = std::move(member);
  ++started_;
}

void HollowMembers::kill(const std::vector<int>& numbers) {
  for (const auto& worker : workers_) {
    worker->run([&] {
      for (const int number : numbers) worker->members.erase(number);
    });
  }
}

HollowMembers::Totals HollowMembers::totals() {
  Totals totals;
  for (const auto& worker : workers_) {
    worker->run([&] {
      totals.bytes += worker->counters[Count::kMembersBytes];
      totals.datagrams += worker->counters[Count::kMembersSent];
      totals.processor_seconds += thread_processor_time();
      totals.running += static_cast<int>(worker->members.size());
      for (const auto& [number, member] : worker->members) {
        member->report();
        const auto alive = static_cast<std::size_t>(worker->counters[Count::kMembersAlive]);
        totals.min_alive = totals.min_alive == 0 ? alive : std::min(totals.min_alive, alive);
        totals.max_alive = std::max(totals.max_alive, alive);
        totals.deaths += worker->counters[Count::kMembersDeaths];
      }
    });
  }
  return totals;
}

}  // namespace damsonspoke::standins

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

constexpr int kSeedsHere = 3;
constexpr double kInterval = 0.3, kSuspicion = 2, kRemember = 7200;  // s; what the directives have by default

}  // namespace

struct HollowMembers::Lane {
  net::Reactor reactor;
  Counters counters;
  Logger log{Level::kError};
  std::map<int, std::unique_ptr<peers::MembershipTransport>> members;
  std::thread thread;

  // On the lane's thread; waits for it.
  template <typename Work>
  void run(Work&& work) {
    std::promise<void> done;
    reactor.post_from_elsewhere([&] {
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
    lanes_.push_back(std::make_unique<Lane>());
    Lane* lane = lanes_.back().get();
    lane->thread = std::thread([lane] { lane->reactor.run(); });
  }
}

HollowMembers::~HollowMembers() {
  for (const auto& lane : lanes_) {
    lane->run([&] { lane->members.clear(); });
    lane->reactor.post_from_elsewhere([&] { lane->reactor.stop(); });
    lane->thread.join();
  }
}

std::vector<std::string> HollowMembers::first_addresses() const {
  std::vector<std::string> out;
  for (int i = 0; i < std::min(kSeedsHere, options_.count); ++i) out.push_back(address(options_.seed, i));
  return out;
}

void HollowMembers::begin() {
  std::vector<std::string> seeds = first_addresses();
  seeds.insert(seeds.end(), options_.seeds.begin(), options_.seeds.end());
  for (int i = 0; i < options_.count; ++i) {
    Lane* lane = lanes_[static_cast<std::size_t>(i) % lanes_.size()].get();
    lane->reactor.post_from_elsewhere([this, lane, i, seeds] {
      lane->reactor.after(i / options_.joins_per_s, [this, lane, i, seeds] {
        MembersOptions member;
        member.bind = member.advertised_address = address(options_.seed, i);
        member.cluster = options_.cluster;
        member.seeds = seeds;
        member.peers = {*conns::parse_prefix("127.0.0.0/8")};
        member.probe_interval = kInterval, member.suspicion_timeout = kSuspicion,
        member.dead_retention = kRemember;
        auto one = std::make_unique<peers::MembershipTransport>(
            lane->reactor, member, fmt::format("hollow-{:04}", i), 1000 + static_cast<std::uint64_t>(i),
            options_.seed * 100003 + static_cast<std::uint64_t>(i), lane->counters, lane->log);
        one->begin();
        lane->members[i] = std::move(one);
        ++up_;
      });
    });
  }
}

void HollowMembers::kill(const std::vector<int>& numbers) {
  for (const auto& lane : lanes_) {
    lane->run([&] {
      for (const int number : numbers) lane->members.erase(number);
    });
  }
}

HollowMembers::Sums HollowMembers::sums() {
  Sums sums;
  for (const auto& lane : lanes_) {
    lane->run([&] {
      sums.bytes += lane->counters[Count::kMembersBytes];
      sums.datagrams += lane->counters[Count::kMembersSent];
      sums.processor_seconds += thread_processor_time();
      sums.alive += static_cast<int>(lane->members.size());
      for (const auto& [number, member] : lane->members) {
        member->report();
        const auto there = static_cast<std::size_t>(lane->counters[Count::kMembersThere]);
        sums.least_there = sums.least_there == 0 ? there : std::min(sums.least_there, there);
        sums.most_there = std::max(sums.most_there, there);
        sums.deaths += lane->counters[Count::kMembersDeaths];
      }
    });
  }
  return sums;
}

}  // namespace damsonspoke::standins

// Hollow members: members of a fleet that only take part in membership, many of them in one process, to
// simulate fleets with more processes than fit on one machine. Each runs the program's own membership view,
// codec and sockets (peers/members) at its own loopback address. They share a few reactors, one per thread.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/reactor.h"
#include "peers/members/transport.h"

namespace damsonspoke::standins {

class HollowMembers {
 public:
  struct Options {
    int count = 100;
    int threads = 5;
    std::uint64_t seed = 1;
    std::string cluster = "hollow";
    double starts_per_second = 200;
    std::vector<std::string>
        seeds;  // addresses of members in other processes, in addition to the first three here
  };
  explicit HollowMembers(Options options);
  ~HollowMembers();  // stops the threads
  HollowMembers(const HollowMembers&) = delete;
  HollowMembers& operator=(const HollowMembers&) = delete;

  static constexpr std::uint16_t kPort = 17946;
  // The loopback address of a member.
  static std::string address(std::uint64_t seed, int number);
  // Addresses that other members can use as seeds.
  [[nodiscard]] std::vector<std::string> seed_addresses() const;

  // Starts the members one after another, on their threads.
  void start();
  [[nodiscard]] bool all_started() const { return started_ == options_.count; }
  // Ends these members immediately, without announcing it to the others.
  void kill(const std::vector<int>& numbers);

  struct Totals {
    std::uint64_t bytes = 0;       // sent, including push-pulls
    std::uint64_t datagrams = 0;   // sent
    std::uint64_t deaths = 0;      // declared by members of this process
    double processor_seconds = 0;  // of the threads
    int running = 0;
    // The minimum and the maximum number of members that one of them sees as alive, including itself.
    std::size_t min_alive = 0;
    std::size_t max_alive = 0;
  };
  [[nodiscard]] Totals totals();

 private:
  struct Worker;  // a thread with its reactor and its members
  void start_member(Worker& worker, int number, const std::vector<std::string>& seeds);

  Options options_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::atomic<int> started_{0};
};

}  // namespace damsonspoke::standins

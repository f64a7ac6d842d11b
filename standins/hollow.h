// Hollow members: instances of a fleet that only take part in membership, many of them in one process. Each
// runs the program's own view, codec and sockets (peers/members) at a loopback address of its own; they share
// a few reactors, each with a thread. They stand in for processes that would not fit on one machine.
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
    std::vector<std::string> seeds;  // addresses of members outside, beside the first three here
  };
  explicit HollowMembers(Options options);
  ~HollowMembers();  // ends the threads
  HollowMembers(const HollowMembers&) = delete;
  HollowMembers& operator=(const HollowMembers&) = delete;

  static constexpr std::uint16_t kPort = 17946;
  // The loopback address of a member.
  static std::string address(std::uint64_t seed, int number);
  // Addresses by which others may join.
  [[nodiscard]] std::vector<std::string> seed_addresses() const;

  // Starts the members one after another, on their threads.
  void start();
  [[nodiscard]] bool all_started() const { return started_ == options_.count; }
  // Ends these members at once; they don't notify anybody.
  void kill(const std::vector<int>& numbers);

  struct Totals {
    std::uint64_t bytes = 0;       // sent, push-pulls included
    std::uint64_t datagrams = 0;   // sent
    std::uint64_t deaths = 0;      // declared by members here
    double processor_seconds = 0;  // of the threads
    int running = 0;
    // Members that one of them sees as alive, itself included: the fewest and the most.
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

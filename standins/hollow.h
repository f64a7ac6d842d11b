// Hollow members: instances of a fleet that only take part in membership, many of them in one process. Each
// runs the program's own view, codec and sockets (peers/members) at a loopback address of its own; they share
// a few reactors, a thread each. They stand in for processes that would not fit on one machine.
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
    double joins_per_s = 200;        // how fast they come up
    std::vector<std::string> seeds;  // addresses of members outside; beside the first three here
  };
  explicit HollowMembers(Options options);
  ~HollowMembers();  // ends the threads
  HollowMembers(const HollowMembers&) = delete;
  HollowMembers& operator=(const HollowMembers&) = delete;

  static constexpr std::uint16_t kPort = 17946;
  // Loopback addresses of their own, by the seed and the number.
  static std::string address(std::uint64_t seed, int number);
  std::vector<std::string> first_addresses() const;  // for others that join

  void begin();  // they come up one after another, on their threads
  bool all_up() const { return up_ == options_.count; }
  // These end at once, without a word.
  void kill(const std::vector<int>& numbers);

  struct Sums {
    std::uint64_t bytes = 0;                      // sent, streams too
    std::uint64_t datagrams = 0;                  // sent
    std::uint64_t deaths = 0;                     // called by a member here
    double processor_seconds = 0;                 // of the threads
    int alive = 0;                                // members that run here
    std::size_t least_there = 0, most_there = 0;  // members that one of them sees as there, itself counted
  };
  Sums sums();

 private:
  struct Lane;  // a thread with its reactor and its members
  Options options_;
  std::vector<std::unique_ptr<Lane>> lanes_;
  std::atomic<int> up_{0};
};

}  // namespace damsonspoke::standins

// Full exchanges at one member on a real socket; CTest compares with tests/traces/members_streams.txt.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <thread>

#include "hollow.h"
#include "scenarios.h"
#include "wire/members.h"

using namespace damsonspoke;
using namespace damsonspoke::standins;

namespace {

namespace wm = wire::members;

constexpr std::uint64_t kSeed = 91;
constexpr int kExchanges = 40;
constexpr int kPatience = 5;  // s

int connected() {
  const std::string address = HollowMembers::address(kSeed, 0);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval patience{kPatience, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(HollowMembers::kPort);
  ::inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &to.sin_addr);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return fd;
  ::close(fd);
  return -1;
}

members::Record stranger(int number) {
  members::Record record;
  record.name = fmt::format("stranger-{}", number);
  record.address = "127.0.0.1:1";
  record.epoch = 7;
  return record;
}

// The records that it tells in answer; none where it refuses.
std::size_t records_told(int number) {
  const int fd = connected();
  if (fd < 0) return 0;
  const std::string mine = wm::encode_exchange("hollow", {stranger(number)});
  ::send(fd, mine.data(), mine.size(), MSG_NOSIGNAL);
  std::string bytes;
  wm::ReadExchange read;
  char piece[65536];
  for (ssize_t got; !read.whole && (got = ::recv(fd, piece, sizeof piece, 0)) > 0;) {
    bytes.append(piece, static_cast<std::size_t>(got));
    read = wm::decode_exchange("hollow", bytes);
  }
  ::close(fd);
  return read.records.size();
}

// Waits until it listens.
bool listens() {
  for (int i = 0; i < 100 * kPatience; ++i) {
    const int fd = connected();
    if (fd >= 0) return ::close(fd) == 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

}  // namespace

int main() {
  HollowMembers::Options options;
  options.count = 1;
  options.threads = 1;
  options.seed = kSeed;
  HollowMembers member(options);
  member.begin();
  say("it listens", listens());
  int answered = 0;
  for (int i = 0; i < kExchanges; ++i) answered += records_told(i) > 0 ? 1 : 0;
  // Far more than may be open at once: each one's place is free again when it is answered.
  say(fmt::format("{} exchanges one after another: all answered", kExchanges), answered == kExchanges);
}

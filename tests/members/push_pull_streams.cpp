// Push-pulls with one member on a real socket; CTest compares with tests/traces/members_streams.txt.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
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
constexpr int kPushPulls = 40;
constexpr int kTimeoutSeconds = 5;
constexpr std::size_t kReadBytes = 65536;

// A socket, or -1.
int connect_to_member() {
  const std::string address = HollowMembers::address(kSeed, 0);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{kTimeoutSeconds, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(HollowMembers::kPort);
  ::inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &to.sin_addr);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return fd;
  ::close(fd);
  return -1;
}

members::Record unknown_member(int number) {
  members::Record record;
  record.name = fmt::format("unknown-{}", number);
  record.address = "127.0.0.1:1";
  record.epoch = 7;
  return record;
}

// The number of records in the member's answer; 0 if it rejects the push-pull.
std::size_t push_pull(int number) {
  const int fd = connect_to_member();
  if (fd < 0) return 0;
  const std::string own = wm::encode_push_pull("hollow", {unknown_member(number)});
  ::send(fd, own.data(), own.size(), MSG_NOSIGNAL);
  std::string bytes;
  wm::DecodedPushPull answer;
  std::array<char, kReadBytes> buffer{};
  while (!answer.is_complete) {
    const ssize_t got = ::recv(fd, buffer.data(), buffer.size(), 0);
    if (got <= 0) break;
    bytes.append(buffer.data(), static_cast<std::size_t>(got));
    answer = wm::decode_push_pull("hollow", bytes);
  }
  ::close(fd);
  return answer.records.size();
}

bool wait_until_listening() {
  for (int i = 0; i < 100 * kTimeoutSeconds; ++i) {
    const int fd = connect_to_member();
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
  member.start();
  say("the member listens", wait_until_listening());
  int answered = 0;
  for (int i = 0; i < kPushPulls; ++i) answered += push_pull(i) > 0 ? 1 : 0;
  // Guards against push-pulls that stay open after their answer: there are far more than may be open at the
  // same time.
  say(fmt::format("{} push-pulls one after another: all answered", kPushPulls), answered == kPushPulls);
}

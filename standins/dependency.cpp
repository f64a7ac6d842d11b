#include "dependency.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <string_view>

#include "journal.h"

namespace damsonspoke::standins {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kCallCommand = "invoke ";
constexpr std::size_t kIdDigits = 16;

bool is_call(const std::string& line) { return line.starts_with(kCallCommand); }

}  // namespace

Dependency::Dependency(Loop& loop, Options initial_options) : options(initial_options), loop_(loop) {
  listener_ = listening_socket(port_);
  loop_.watch(listener_, [this] { accept(); });
}

Dependency::~Dependency() {
  while (!connections_.empty()) close_connection(connections_.begin()->first);
  loop_.forget(listener_);
  ::close(listener_);
}

void Dependency::accept() {
  const int fd = accepted_socket(listener_);
  if (fd < 0) return;
  connections_[fd].serial = next_serial_++;
  loop_.watch(fd, [this, fd] { read(fd); });
}

void Dependency::close_connection(int fd) {
  loop_.forget(fd);
  ::close(fd);
  connections_.erase(fd);
}

void Dependency::read(int fd) {
  char bytes[65536];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got <= 0) return close_connection(fd);
  std::string& in = connections_.at(fd).in;
  in.append(bytes, static_cast<std::size_t>(got));
  std::string line, body;
  while (take_line(in, line, body)) {
    if (is_call(line)) answer(fd, {line.substr(kCallCommand.size(), kIdDigits), body});
  }
}

bool Dependency::take_line(std::string& in, std::string& line, std::string& body) {
  const std::size_t end = in.find(kLineEnd);
  if (end == std::string::npos) return false;
  line = in.substr(0, end);
  std::size_t consumed = end + kLineEnd.size();
  body.clear();
  if (is_call(line)) {  // the last token is the length of the body
    const auto length = static_cast<std::size_t>(std::atoll(line.substr(line.rfind(' ')).c_str()));
    if (in.size() < consumed + length + kLineEnd.size()) return false;
    body = in.substr(consumed, length);
    consumed += length + kLineEnd.size();
  }
  in.erase(0, consumed);
  return true;
}

void Dependency::answer(int fd, const Call& call) {
  ++calls_;
  if (in_flight_ >= options.max_calls_in_flight) return loop_.send(fd, call.id + " overload\r\n");
  ++in_flight_;
  loop_.after(options.reply_seconds, [this, fd, call, serial = connections_.at(fd).serial] {
    --in_flight_;
    reply(fd, serial, call);
  });
}

void Dependency::reply(int fd, std::uint64_t serial, const Call& call) {
  const auto found = connections_.find(fd);
  if (found == connections_.end() || found->second.serial != serial) return;  // the connection has ended
  const std::string text = kReplyPrefix + call.body;
  loop_.send(fd, fmt::format("{} ok {}\r\n{}\r\n", call.id, text.size(), text));
}

Registry::Registry(Loop& loop) : loop_(loop) { listen(); }

Registry::~Registry() { stop_listening(); }

void Registry::listen() {
  if (fd_ >= 0) return;
  fd_ = datagram_socket(port_);
  loop_.watch(fd_, [this] { read(); });
}

void Registry::stop_listening() {
  if (fd_ < 0) return;
  loop_.forget(fd_);
  ::close(fd_);
  fd_ = -1;
  is_listed_ = false;
}

void Registry::read() {
  char bytes[512];
  const ssize_t got = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got <= 0) return;
  const std::string_view text(bytes, static_cast<std::size_t>(got));
  is_listed_ = text.size() > 3 && text.substr(text.size() - 3) == " on";
  ++reports_;
}

}  // namespace damsonspoke::standins

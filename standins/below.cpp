#include "below.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <string_view>

#include "journal.h"

namespace damsonspoke::standins {

Below::Below(Loop& loop, Options how) : options(how), loop_(loop) {
  listener_ = listening_socket(port_);
  loop_.watch(listener_, [this] { accept(); });
}

Below::~Below() {
  for (const auto& [fd, in] : links_) {
    loop_.forget(fd);
    ::close(fd);
  }
  loop_.forget(listener_);
  ::close(listener_);
}

void Below::accept() {
  const int fd = accepted_socket(listener_);
  if (fd < 0) return;
  links_[fd];
  serials_[fd] = next_serial_++;
  loop_.watch(fd, [this, fd] { read(fd); });
}

void Below::read(int fd) {
  char bytes[65536];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got <= 0) {
    loop_.forget(fd);
    ::close(fd);
    links_.erase(fd);
    serials_.erase(fd);
    return;
  }
  std::string& in = links_.at(fd);
  in.append(bytes, static_cast<std::size_t>(got));
  for (;;) {
    const std::size_t end = in.find("\r\n");
    if (end == std::string::npos) return;
    const std::string line = in.substr(0, end);
    std::size_t used = end + 2;
    if (line.rfind("invoke ", 0) == 0) {
      const auto length = static_cast<std::size_t>(std::atoll(line.substr(line.rfind(' ')).c_str()));
      if (in.size() < used + length + 2) return;
      const std::string reply = kReplyTo + in.substr(used, length);
      used += length + 2;
      const std::string id = line.substr(7, 16);
      ++calls_;
      if (in_hand_ >= options.most) {
        loop_.send(fd, id + " overload\r\n");
      } else {
        ++in_hand_;
        loop_.after(options.takes, [this, fd, id, reply, serial = serials_.at(fd)] {
          --in_hand_;
          const auto found = serials_.find(fd);
          if (found != serials_.end() && found->second == serial)
            loop_.send(fd, fmt::format("{} ok {}\r\n{}\r\n", id, reply.size(), reply));
        });
      }
    }
    in.erase(0, used);
  }
}

Roster::Roster(Loop& loop) : loop_(loop) { listen(); }

Roster::~Roster() { go_down(); }

void Roster::listen() {
  if (fd_ >= 0) return;
  fd_ = datagram_socket(port_);
  loop_.watch(fd_, [this] { read(); });
}

void Roster::go_down() {
  if (fd_ < 0) return;
  loop_.forget(fd_);
  ::close(fd_);
  fd_ = -1;
  listed_ = false;
}

void Roster::read() {
  char bytes[512];
  const ssize_t got = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got <= 0) return;
  const std::string_view text(bytes, static_cast<std::size_t>(got));
  listed_ = text.size() > 3 && text.substr(text.size() - 3) == " on";
  ++reports_;
}

}  // namespace damsonspoke::standins

#include "ajp_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

namespace damsonspoke::standins {
namespace {

constexpr std::chrono::milliseconds kPauseBetweenPieces{20};

}  // namespace

namespace raw_ajp {
namespace {

std::string text(const std::string& value) {
  return std::string({static_cast<char>(value.size() >> 8), static_cast<char>(value.size())}) + value + '\0';
}

}  // namespace

std::string head(int status) {
  return packet(std::string({4, static_cast<char>(status >> 8), static_cast<char>(status)}) + text("x") +
                    std::string(2, '\0'),
                "AB");
}
std::string piece(const std::string& bytes) { return packet('\3' + text(bytes), "AB"); }
std::string end(bool reuse) { return packet(std::string({5, static_cast<char>(reuse)}), "AB"); }
std::string answer(int status, const std::string& body) { return head(status) + piece(body) + end(); }

}  // namespace raw_ajp

AjpServer::AjpServer(Loop& loop) : loop_(loop), listener_(listening_socket(port)) {
  loop_.watch(listener_, [this] { accept(); });
}
AjpServer::~AjpServer() {
  stop_listening();
  disconnect_all();
}

void AjpServer::stop_listening() {
  if (listener_ < 0) return;
  loop_.forget(listener_);
  ::close(listener_);
  listener_ = -1;
}
void AjpServer::disconnect_all() {
  while (!links_.empty()) close_link(links_.begin()->first);
}
void AjpServer::close_link(int fd) {
  links_.erase(fd);
  loop_.forget(fd);
  ::close(fd);
}

void AjpServer::accept() {
  for (int fd; (fd = accepted_socket(listener_)) >= 0;) {
    ++accepted;
    links_[fd];
    loop_.watch(fd, [this, fd] { serve(fd); });
    if (closes_on_accept) close_link(fd);
  }
}

void AjpServer::send_pieces(int fd) {
  bool is_first = true;
  for (const std::string& piece : answer_pieces(last_body)) {
    if (!std::exchange(is_first, false)) std::this_thread::sleep_for(kPauseBetweenPieces);
    loop_.send(fd, piece);
  }
}

void AjpServer::serve(int fd) {
  if (closes_after_pong && pings > 0) return close_link(fd);
  char bytes[65536];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN) return;
  if (got <= 0) return close_link(fd);
  std::string& in = links_.at(fd);
  in.append(bytes, static_cast<std::size_t>(got));
  while (in.size() >= 4) {
    const auto byte = [&](std::size_t i) {
      return static_cast<std::size_t>(static_cast<unsigned char>(in[i]));
    };
    const std::size_t length = byte(2) << 8 | byte(3);
    if (in.size() < 4 + length) return;
    const std::string payload = in.substr(4, length);
    in.erase(0, 4 + length);
    if (payload == "\x0a") {
      ++pings;
      if (answers_pings) loop_.send(fd, raw_ajp::packet("\x09", "AB") + after_pong);
    } else if (payload.size() > 2 && payload[0] != 2) {  // the body: the request is complete
      ++requests;
      last_body = payload.substr(2);
      if (answer_pieces) {
        send_pieces(fd);
        continue;
      }
      const bool closes = !answer.empty() && answer.back() == '!';
      loop_.send(fd, closes ? answer.substr(0, answer.size() - 1) : answer);
      if (closes) return close_link(fd);
    }
  }
}

}  // namespace damsonspoke::standins

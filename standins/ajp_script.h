// A scripted AJP gateway: one connection that sends any bytes, and summarizes what the server sends back.
#pragma once

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>

#include "ajp_gateway.h"
#include "loop.h"

namespace damsonspoke::standins {

class AjpScript {
 public:
  AjpScript(Loop& loop, std::uint16_t port) : loop_(loop), fd_(connected_socket(port)) {
    loop_.watch(fd_, [this] { read(); });
  }
  AjpScript(const AjpScript&) = delete;
  AjpScript& operator=(const AjpScript&) = delete;
  ~AjpScript() { disconnect(); }
  AjpScript& send(const std::string& bytes) {
    if (!is_closed_) loop_.send(fd_, bytes);
    return *this;
  }
  void disconnect() {
    if (fd_ < 0) return;
    loop_.forget(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  // Waits for the end of an answer, a pong, input that is not AJP, or the end of the connection. Returns a
  // summary of what arrived until then or until the timeout: the status, the sizes of requested pieces,
  // whether the connection may be reused.
  std::string read_answer(double timeout_seconds = 2.5) {
    std::string out;
    loop_.run_until(
        [&] {
          for (;;) {
            const raw_ajp::Reply reply = raw_ajp::take_reply(input_);
            if (reply.kind == 0) break;
            if (reply.kind == 4) {
              out += fmt::format("{} ", reply.status);
              if (reply.headers.contains("retry-after")) out += "retry-after ";
            }
            if (reply.kind == 6) out += fmt::format("get {} ", reply.max_bytes);
            if (reply.kind == 9) return out += "pong ", true;
            if (reply.kind == 5) return out += reply.reuse ? "reuse " : "no-reuse ", true;
            if (reply.kind == -1) return out += "no AJP ", true;
          }
          return is_closed_ && (out += "closed ", true);
        },
        timeout_seconds);
    if (!out.empty()) out.pop_back();
    return out;
  }
  // Whether the server closes the connection within this time.
  bool wait_until_closed(double timeout_seconds = 2.5) {
    return loop_.run_until([this] { return is_closed_; }, timeout_seconds);
  }

 private:
  void read() {
    char bytes[65536];
    const ssize_t got = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got < 0 && errno == EAGAIN) return;
    if (got <= 0) {
      is_closed_ = true;
      loop_.forget(fd_);
      return;
    }
    input_.append(bytes, static_cast<std::size_t>(got));
  }
  Loop& loop_;
  int fd_ = -1;
  std::string input_;
  bool is_closed_ = false;
};

}  // namespace damsonspoke::standins

// A forwarder by hand, for planners: says what it is told to, and keeps what it hears.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <map>
#include <string>

#include "loop.h"
#include "wire/tier.h"

namespace damsonspoke::standins {

class ScriptedForwarder {
 public:
  ScriptedForwarder(Loop& loop, std::uint16_t port) : loop_(loop), fd_(connected_socket(port)) {
    if (fd_ >= 0) loop_.watch(fd_, [this] { read(); });
  }
  ~ScriptedForwarder() { cut(); }
  void cut() {
    if (fd_ >= 0 && !over_) loop_.forget(fd_);
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  ScriptedForwarder& send(const wire::tier::Message& message) {
    if (fd_ >= 0 && !over_) loop_.send(fd_, wire::tier::encode(message));
    return *this;
  }
  ScriptedForwarder& hello(const char* name, std::uint64_t epoch) {
    send(hello_of(name, epoch));
    loop_.run_until([this] { return greeted; }, 1);
    return *this;
  }
  static wire::tier::Hello hello_of(const char* name, std::uint64_t epoch) {
    wire::tier::Hello hello;
    hello.name = name, hello.epoch = epoch, hello.routes = {"read"};
    return hello;
  }
  ScriptedForwarder& submit(std::uint64_t attempt, std::uint64_t request) {
    wire::tier::Submit submit;
    submit.attempt = attempt, submit.request = request, submit.size_sixteenth_kb = 160,
    submit.remaining_us = 1900000, submit.body = "k ";
    return send(submit);
  }
  // How an attempt was answered, within so many seconds; -1: not.
  int answer(std::uint64_t attempt, double patience = 1) {
    loop_.run_until([&] { return answers.contains(attempt); }, patience);
    return answers.contains(attempt) ? static_cast<int>(answers[attempt]) : -1;
  }
  bool closed(double patience) {
    return loop_.run_until([this] { return over_; }, patience);
  }
  // Nothing but pings, for so long.
  void ping_for(double seconds) {
    for (double left = seconds; left > 0; left -= 0.25) {
      send(wire::tier::Ping{1});
      loop_.run_for(0.25);
    }
  }
  bool greeted = false, no_more = false;
  int pongs = 0;
  std::uint32_t window = 0;         // that it was told of last
  std::uint64_t planner_epoch = 0;  // of the planner's hello
  std::map<std::uint64_t, wire::tier::Result> answers;

 private:
  void read() {
    char bytes[65536];
    const ssize_t got = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got < 0 && errno == EAGAIN) return;
    if (got <= 0) {
      over_ = true;
      loop_.forget(fd_);
      return;
    }
    in_.append(bytes, static_cast<std::size_t>(got));
    for (;;) {
      const wire::tier::DecodedFrame taken = wire::tier::decode_next_frame(in_);
      if (taken.state != wire::tier::Framing::kFrame) return;
      in_.erase(0, taken.length);
      if (const auto* hello = std::get_if<wire::tier::Hello>(&taken.message))
        greeted = true, window = hello->window, planner_epoch = hello->epoch;
      if (const auto* told = std::get_if<wire::tier::LoadReport>(&taken.message)) window = told->window;
      if (std::holds_alternative<wire::tier::Draining>(taken.message)) no_more = true;
      if (std::holds_alternative<wire::tier::Pong>(taken.message)) ++pongs;
      if (const auto* answer = std::get_if<wire::tier::Answer>(&taken.message))
        answers[answer->attempt] = answer->result;
    }
  }
  Loop& loop_;
  int fd_ = -1;
  std::string in_;
  bool over_ = false;
};

}  // namespace damsonspoke::standins

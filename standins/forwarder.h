// A scripted forwarder for tests of planners: sends messages on request and stores the received ones.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "loop.h"
#include "wire/tier.h"

namespace damsonspoke::standins {

// One forwarder with one link, which is connected on construction; `loop` outlives this.
class ScriptedForwarder {
 public:
  ScriptedForwarder(Loop& loop, std::uint16_t port) : loop_(loop), fd_(connected_socket(port)) {
    if (fd_ >= 0) loop_.watch(fd_, [this] { read(); });
  }
  ScriptedForwarder(const ScriptedForwarder&) = delete;
  ScriptedForwarder& operator=(const ScriptedForwarder&) = delete;
  ~ScriptedForwarder() { close_link(); }

  // Closes the link.
  void close_link() {
    if (fd_ >= 0 && !is_closed_) loop_.forget(fd_);
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // Does nothing if the link has ended.
  ScriptedForwarder& send(const wire::tier::Message& message) {
    if (fd_ >= 0 && !is_closed_) loop_.send(fd_, wire::tier::encode(message));
    return *this;
  }
  // Sends a hello and waits for the planner's for at most 1 s.
  ScriptedForwarder& hello(const char* name, std::uint64_t epoch) {
    send(hello_of(name, epoch));
    loop_.run_until([this] { return has_hello; }, 1);
    return *this;
  }
  static wire::tier::Hello hello_of(const char* name, std::uint64_t epoch) {
    wire::tier::Hello hello;
    hello.name = name;
    hello.epoch = epoch;
    hello.routes = {"read"};
    return hello;
  }
  // Sends an attempt at a request that needs 10 kB and has 1.9 s left.
  ScriptedForwarder& submit(std::uint64_t attempt, std::uint64_t request) {
    wire::tier::Submit submit;
    submit.attempt = attempt;
    submit.request = request;
    submit.size_sixteenth_kb = 160;
    submit.remaining_us = 1900000;
    submit.body = "k ";
    return send(submit);
  }
  // Waits for the answer to an attempt and returns its result; -1 on a timeout.
  int answer(std::uint64_t attempt, double timeout_seconds = 1) {
    loop_.run_until([&] { return answers.contains(attempt); }, timeout_seconds);
    return answers.contains(attempt) ? static_cast<int>(answers[attempt]) : -1;
  }
  // Whether the planner closes the link within this time.
  bool is_closed_within(double timeout_seconds) {
    return loop_.run_until([this] { return is_closed_; }, timeout_seconds);
  }
  // Sends only pings for this time.
  void ping_for(double seconds) {
    const int pings = static_cast<int>(std::ceil(seconds / kPingSeconds));
    for (int i = 0; i < pings; ++i) {
      send(wire::tier::Ping{1});
      loop_.run_for(kPingSeconds);
    }
  }

  // The state received so far.
  bool has_hello = false, has_drain_notice = false;
  int pongs = 0;
  std::uint32_t window = 0;         // the last one received
  std::uint64_t planner_epoch = 0;  // of the planner's hello
  std::map<std::uint64_t, wire::tier::Result> answers;

 private:
  static constexpr double kPingSeconds = 0.25;

  void read() {
    char bytes[65536];
    const ssize_t got = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got < 0 && errno == EAGAIN) return;
    if (got <= 0) {
      is_closed_ = true;
      loop_.forget(fd_);
      return;
    }
    in_.append(bytes, static_cast<std::size_t>(got));
    for (;;) {
      const wire::tier::DecodedFrame taken = wire::tier::decode_next_frame(in_);
      if (taken.state != wire::tier::Framing::kFrame) return;
      in_.erase(0, taken.length);
      take(taken.message);
    }
  }
  void take(const wire::tier::Message& message) {
    if (const auto* hello = std::get_if<wire::tier::Hello>(&message)) {
      has_hello = true;
      window = hello->window;
      planner_epoch = hello->epoch;
    }
    if (const auto* report = std::get_if<wire::tier::LoadReport>(&message)) window = report->window;
    if (std::holds_alternative<wire::tier::Draining>(message)) has_drain_notice = true;
    if (std::holds_alternative<wire::tier::Pong>(message)) ++pongs;
    if (const auto* answer = std::get_if<wire::tier::Answer>(&message))
      answers[answer->attempt] = answer->result;
  }

  Loop& loop_;
  int fd_ = -1;
  std::string in_;
  bool is_closed_ = false;
};

}  // namespace damsonspoke::standins

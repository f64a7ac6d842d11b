#include "planner.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "runtime.h"

namespace damsonspoke::standins {

namespace wt = wire::tier;

namespace {
constexpr double kUnreadSeconds =
    0.05;  // without reading, before answers are forged: a few requests are sent meanwhile
constexpr std::uint64_t kForgedAnswerCount = 16;  // attempts that are answered then
constexpr double kShareIntervalSeconds = 0.05;    // between two announcements
}  // namespace

Planner::Planner(Loop& loop, Journal& journal, Options initial_options, std::uint16_t port)
    : options(initial_options), loop_(loop), journal_(journal), port_(port) {
  static std::uint64_t instances = 0;
  epoch_ = 500 + ++instances;
  listener_ = listening_socket(port_);
  loop_.watch(listener_, [this] { accept(); });
}

Planner::~Planner() {
  *is_alive_ = false;
  for (const auto& [fd, link] : links_) {
    loop_.forget(fd);
    ::close(fd);
  }
  loop_.forget(listener_);
  ::close(listener_);
}

void Planner::accept() {
  const int fd = accepted_socket(listener_);
  if (fd < 0) return;
  links_[fd].serial = next_serial_++;
  loop_.watch(fd, [this, fd] { read(fd); });
}

void Planner::read(int fd) {
  char bytes[65536];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN) return;
  if (got <= 0) {
    loop_.forget(fd);
    ::close(fd);
    shares_.remove(links_.at(fd).serial, now());
    links_.erase(fd);
    return;
  }
  std::string& in = links_.at(fd).in;
  in.append(bytes, static_cast<std::size_t>(got));
  for (;;) {
    const wt::DecodedFrame taken = wt::decode_next_frame(in);
    if (taken.state != wt::Framing::kFrame) break;
    in.erase(0, taken.length);
    take(fd, taken.message);
  }
  if (const Link& link = links_.at(fd); options.mode == PlannerMode::kForgedAnswers && link.last_attempt != 0)
    forge_answers(fd, link.serial, link.last_attempt);
}

// Stops reading for a while, then answers the attempts that may have been sent meanwhile, without having read
// them.
void Planner::forge_answers(int fd, std::uint64_t serial, std::uint64_t last) {
  loop_.forget(fd);
  loop_.after(kUnreadSeconds, [this, is_alive = is_alive_, fd, serial, last] {
    if (!*is_alive || !links_.contains(fd) || links_.at(fd).serial != serial) return;
    for (std::uint64_t other = last + 1; other <= last + kForgedAnswerCount; ++other)
      answer(fd, serial, other, wire::tier::Result::kSucceeded, "forged");
    links_.at(fd).last_attempt = 0;
    loop_.watch(fd, [this, fd] { read(fd); });
  });
}

void Planner::take(int fd, const wt::Message& message) {
  if (links_.at(fd).is_cut_short) return;
  if (const auto* hello = std::get_if<wt::Hello>(&message)) {
    answer_hello(fd, *hello);
  } else if (const auto* ping = std::get_if<wt::Ping>(&message)) {
    send_message(fd, wt::Pong{ping->token});
  } else if (const auto* request = std::get_if<wt::Submit>(&message)) {
    submit(fd, *request);
  } else if (const auto* fence = std::get_if<wt::Fence>(&message)) {
    answer_fence(fd, *fence);
  }
}

void Planner::answer_hello(int fd, const wt::Hello& hello) {
  links_.at(fd).routes = hello.routes;
  wt::Hello own_hello;
  own_hello.is_planner = true;
  own_hello.epoch = epoch_;
  own_hello.name = "scripted";
  own_hello.cores = 4;
  own_hello.window = options.slow_start_budget > 0 ? 0 : options.window;
  send_message(fd, own_hello);
  if (options.slow_start_budget <= 0) return;
  shares_.add(links_.at(fd).serial);
  if (links_.size() == 1) announce_shares();
}

void Planner::answer_fence(int fd, const wt::Fence& fence) {
  ++fences_received_;
  if (options.mode == PlannerMode::kSilent) return;
  // A correct planner runs each request that it has received, so it answers that the attempt is running.
  const bool is_false = options.mode == PlannerMode::kFalseProofs;
  wt::Answer proof;
  proof.attempt = fence.attempt;
  proof.result = is_false ? wt::Result::kNeverRan : wt::Result::kRunning;
  send_message(fd, proof);
  if (is_false) answer(fd, links_.at(fd).serial, fence.attempt, wt::Result::kSucceeded, "false");
}

// As a real planner does during slow start: the windows of all forwarders add up to the budget.
void Planner::announce_shares() {
  shares_.rebalance(now(), options.slow_start_budget, [this](std::uint64_t serial) {
    for (const auto& [fd, link] : links_) {
      if (link.serial == serial) return link.in_flight;
    }
    return std::size_t{0};
  });
  for (auto& [fd, link] : links_) {
    wt::LoadReport window;
    window.window = shares_.share(link.serial);
    window.is_healthy = true;
    if (window.window == link.announced_share) continue;
    link.announced_share = window.window;
    send_message(fd, window);
  }
  loop_.after(kShareIntervalSeconds, [this, is_alive = is_alive_] {
    if (*is_alive) announce_shares();
  });
}

std::size_t Planner::count_in_flight() const {
  std::size_t all = 0;
  for (const auto& [fd, link] : links_) all += link.in_flight;
  return all;
}

std::uint64_t Planner::min_attempts_per_forwarder() const {
  std::uint64_t least = links_.empty() ? 0 : ~std::uint64_t{0};
  for (const auto& [fd, link] : links_) least = std::min(least, link.sent);
  return least;
}

void Planner::submit(int fd, const wt::Submit& request) {
  ++attempts_received_;
  const std::uint64_t serial = links_.at(fd).serial, attempt = request.attempt;
  links_.at(fd).last_attempt = attempt;
  ++links_.at(fd).sent;
  ++links_.at(fd).in_flight;
  max_in_flight_ = std::max(max_in_flight_, count_in_flight());
  switch (options.mode) {
    case PlannerMode::kSilent:
    case PlannerMode::kFalseProofs: return;
    case PlannerMode::kRejectsAll: return answer(fd, serial, attempt, wt::Result::kRejected, "");
    case PlannerMode::kForgedAnswers:
      for (const std::uint64_t other : {attempt + 1000, std::uint64_t{0}})
        answer(fd, serial, other, wt::Result::kSucceeded, "forged");
      break;
    default: break;
  }
  const std::string key = Runtime::key_of(request.body),
                    result = fmt::format("{} made {}", key, ++result_count_);
  const int incarnation = static_cast<int>(journal_.incarnations.size()) - 1;
  journal_.runs.push_back(
      {request.request, key, links_.at(fd).routes.at(request.route), incarnation, now(), 0, result, true});
  loop_.after(options.run_seconds, [this, is_alive = is_alive_, fd, serial, attempt, result] {
    if (*is_alive) answer(fd, serial, attempt, wt::Result::kSucceeded, result);
  });
}

void Planner::answer(int fd, std::uint64_t serial, std::uint64_t attempt, wt::Result result,
                     const std::string& body) {
  const auto found = links_.find(fd);
  if (found == links_.end() || found->second.serial != serial || found->second.is_cut_short) return;
  if (found->second.in_flight > 0) --found->second.in_flight;
  wt::Answer out;
  out.attempt = attempt;
  out.result = result;
  out.body = body;
  const std::string bytes = wt::encode(out);
  if (options.mode == PlannerMode::kPartialAnswer) {
    found->second.is_cut_short = true;
    return loop_.send(fd, bytes.substr(0, bytes.size() / 2));
  }
  loop_.send(fd, bytes);
}

}  // namespace damsonspoke::standins

#include "planner.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "runtime.h"

namespace damsonspoke::standins {

namespace wt = wire::tier;

namespace {
constexpr double kBlindSeconds =
    0.05;  // that a stranger reads nothing: a few requests are sent to it meanwhile
constexpr std::uint64_t kGuesses = 16;   // attempts that it answers then
constexpr double kSharesSeconds = 0.05;  // between two rounds of shares
}  // namespace

Planner::Planner(Loop& loop, Journal& journal, Options chosen, std::uint16_t port)
    : options(chosen), loop_(loop), journal_(journal), port_(port) {
  static std::uint64_t lives = 0;
  epoch_ = 500 + ++lives;
  listener_ = listening_socket(port_);
  loop_.watch(listener_, [this] { accept(); });
}

Planner::~Planner() {
  *is_here_ = false;
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
  if (const Link& link = links_.at(fd); options.manner == PlannerManner::kStranger && link.last_attempt != 0)
    guess(fd, link.serial, link.last_attempt);
}

// Reads nothing for a while, and then answers what may have been sent meanwhile before it has seen any of it.
void Planner::guess(int fd, std::uint64_t serial, std::uint64_t last) {
  loop_.forget(fd);
  loop_.after(kBlindSeconds, [this, here = is_here_, fd, serial, last] {
    if (!*here || !links_.contains(fd) || links_.at(fd).serial != serial) return;
    for (std::uint64_t other = last + 1; other <= last + kGuesses; ++other)
      answer(fd, serial, other, wire::tier::Result::kSucceeded, "of nobody");
    links_.at(fd).last_attempt = 0;
    loop_.watch(fd, [this, fd] { read(fd); });
  });
}

void Planner::take(int fd, const wt::Message& message) {
  if (links_.at(fd).is_halved) return;
  if (const auto* hello = std::get_if<wt::Hello>(&message)) {
    greet(fd, *hello);
  } else if (const auto* ping = std::get_if<wt::Ping>(&message)) {
    put(fd, wt::Pong{ping->token});
  } else if (const auto* request = std::get_if<wt::Submit>(&message)) {
    submit(fd, *request);
  } else if (const auto* fence = std::get_if<wt::Fence>(&message)) {
    answer_fence(fd, *fence);
  }
}

void Planner::greet(int fd, const wt::Hello& hello) {
  links_.at(fd).routes = hello.routes;
  wt::Hello mine;
  mine.is_planner = true;
  mine.epoch = epoch_;
  mine.name = "scripted";
  mine.cores = 4;
  mine.window = options.cold > 0 ? 0 : options.window;
  put(fd, mine);
  if (options.cold <= 0) return;
  shares_.add(links_.at(fd).serial);
  if (links_.size() == 1) hand_out_shares();
}

void Planner::answer_fence(int fd, const wt::Fence& fence) {
  ++fences_;
  if (options.manner == PlannerManner::kMute) return;
  // Sound ones have run what they took: it is under way.
  const bool lies = options.manner == PlannerManner::kLies;
  wt::Answer proof;
  proof.attempt = fence.attempt;
  proof.result = lies ? wt::Result::kNeverRan : wt::Result::kRunning;
  put(fd, proof);
  if (lies) answer(fd, links_.at(fd).serial, fence.attempt, wt::Result::kSucceeded, "a lie");
}

// As a real one does while it is cold: what all may have open sums to its budget.
void Planner::hand_out_shares() {
  shares_.rebalance(now(), options.cold, [this](std::uint64_t serial) {
    for (const auto& [fd, link] : links_) {
      if (link.serial == serial) return link.open;
    }
    return std::size_t{0};
  });
  for (auto& [fd, link] : links_) {
    wt::LoadReport window;
    window.window = shares_.share(link.serial);
    window.is_healthy = true;
    if (window.window == link.told_share) continue;
    link.told_share = window.window;
    put(fd, window);
  }
  loop_.after(kSharesSeconds, [this, here = is_here_] {
    if (*here) hand_out_shares();
  });
}

std::size_t Planner::count_open() const {
  std::size_t all = 0;
  for (const auto& [fd, link] : links_) all += link.open;
  return all;
}

std::uint64_t Planner::fewest_sent() const {
  std::uint64_t fewest = links_.empty() ? 0 : ~std::uint64_t{0};
  for (const auto& [fd, link] : links_) fewest = std::min(fewest, link.sent);
  return fewest;
}

void Planner::submit(int fd, const wt::Submit& request) {
  ++taken_;
  const std::uint64_t serial = links_.at(fd).serial, attempt = request.attempt;
  links_.at(fd).last_attempt = attempt;
  ++links_.at(fd).sent;
  ++links_.at(fd).open;
  most_open_ = std::max(most_open_, count_open());
  switch (options.manner) {
    case PlannerManner::kMute:
    case PlannerManner::kLies: return;
    case PlannerManner::kRejections: return answer(fd, serial, attempt, wt::Result::kRejected, "");
    case PlannerManner::kStranger:
      for (const std::uint64_t other : {attempt + 1000, std::uint64_t{0}})
        answer(fd, serial, other, wt::Result::kSucceeded, "of nobody");
      break;
    default: break;
  }
  const std::string key = Runtime::key_of(request.body), result = fmt::format("{} made {}", key, ++made_);
  const int life = static_cast<int>(journal_.lives.size()) - 1;
  journal_.runs.push_back(
      {request.request, key, links_.at(fd).routes.at(request.route), life, now(), 0, result, true});
  loop_.after(options.takes, [this, here = is_here_, fd, serial, attempt, result] {
    if (*here) answer(fd, serial, attempt, wt::Result::kSucceeded, result);
  });
}

void Planner::answer(int fd, std::uint64_t serial, std::uint64_t attempt, wt::Result result,
                     const std::string& body) {
  const auto found = links_.find(fd);
  if (found == links_.end() || found->second.serial != serial || found->second.is_halved) return;
  if (found->second.open > 0) --found->second.open;
  wt::Answer out;
  out.attempt = attempt;
  out.result = result;
  out.body = body;
  const std::string bytes = wt::encode(out);
  if (options.manner == PlannerManner::kHalf) {
    found->second.is_halved = true;
    return loop_.send(fd, bytes.substr(0, bytes.size() / 2));
  }
  loop_.send(fd, bytes);
}

}  // namespace damsonspoke::standins

#include "app/membership.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <stdexcept>

namespace damsonspoke {
namespace {

constexpr double kTellEvery = 0.5;  // s; what it tells changes no faster than others hear of it

}  // namespace

std::uint64_t draw_life() {
  std::random_device device;
  const auto ms = static_cast<std::uint64_t>(net::unix_now() * 1000);
  return ms << 12 | (device() & 0xfff);
}

Membership::Membership(net::Reactor& reactor, const Choice& choice, std::string role,
                       std::function<Now()> now, Counters& counters, Logger& log)
    : reactor_(reactor), role_(std::move(role)), now_(std::move(now)), options_(choice.options.members) {
  if (!options_.enabled()) return;
  if (options_.peers.empty())
    throw std::runtime_error(
        "members: no peers; an operators' file names their networks in section 'members'");
  if (choice.config.name.size() > members::kMostName)
    throw std::runtime_error(fmt::format("members: a name has {} bytes at most", members::kMostName));
  listen_host_ = choice.config.listen.substr(0, choice.config.listen.rfind(':'));
  members_ = std::make_unique<peers::MembershipTransport>(reactor, options_, choice.config.name, draw_life(),
                                                          std::random_device{}(), counters, log);
  members_->on_change = [this] {
    if (on_change) on_change();
  };
}

Membership::~Membership() { reactor_.cancel(timer_); }

void Membership::answer_questions(control::Server& control) {
  control.add("members", [this](const std::vector<std::string>& words) {
    if (!members_) throw std::runtime_error("members are off: no section 'members' with 'bind'");
    return members_->told(words.size() > 1 && words[1] == "json");
  });
}

void Membership::begin(std::uint16_t port) {
  if (!members_) return;
  told_.role = role_;
  told_.zone = options_.zone;
  told_.build = DAMSONSPOKE_VERSION;
  told_.generation = 1;
  told_.serves = options_.serves.empty() ? fmt::format("{}:{}", listen_host_, port) : options_.serves;
  members_->begin();
  tell();
}

void Membership::tell() {
  const Now now = now_();
  const double use = std::clamp(now.open / std::max(now.most, 1.0), 0.0, 1.0);
  told_.load = static_cast<std::uint16_t>(use * 1000);
  told_.room = static_cast<std::uint16_t>(std::clamp(now.most - now.open, 0.0, 60000.0));
  members_->tell(told_);
  timer_ = reactor_.after(kTellEvery, [this] { tell(); });
  if (on_change) on_change();
}

void Membership::leave() {
  if (members_ && !leaving_) members_->leave();
  leaving_ = true;
}

// Bind, face and cluster are those of the start; what is told is taken anew.
void Membership::reloaded(const Choice& choice) {
  ++told_.generation;
  told_.zone = choice.options.members.zone;
}

void Membership::report() {
  if (members_) members_->report();
}

std::vector<tier::PlannerStatus> Membership::planners() const {
  std::vector<tier::PlannerStatus> out;
  if (!members_) return out;
  for (const members::MemberStatus& seen : members_->seen()) {
    if (!seen.told || seen.told->role != "planner") continue;
    if (!members_->may_reach(seen.told->serves))
      continue;  // what members tell leads nowhere else than to members
    const bool there = seen.state == members::MemberState::kAlive ||
                       seen.state == members::MemberState::kFlapping ||
                       seen.state == members::MemberState::kUnreachable;  // links have their own eyes
    out.push_back({seen.told->serves, there, seen.state == members::MemberState::kLeft});
  }
  return out;
}

}  // namespace damsonspoke

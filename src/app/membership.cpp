#include "app/membership.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <stdexcept>

namespace damsonspoke {
namespace {

using members::MemberState;

constexpr double kLoadReportIntervalSeconds = 0.5;  // gossip does not spread changes faster
constexpr double kPermille = 1000;
constexpr double kMaxFreeCapacity = 60000;
constexpr int kRandomEpochBits = 12;
constexpr std::uint64_t kRandomEpochMask = (1U << kRandomEpochBits) - 1;

// Members that are flapping or unreachable count too: connections to planners have their own health checks.
bool may_serve(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kFlapping ||
         state == MemberState::kUnreachable;
}

}  // namespace

std::uint64_t new_member_epoch() {
  std::random_device device;
  const auto milliseconds = static_cast<std::uint64_t>(net::unix_now() * 1000);
  return milliseconds << kRandomEpochBits | (device() & kRandomEpochMask);
}

Membership::Membership(net::Reactor& reactor, const ProcessConfig& process_config, std::string role,
                       std::function<Load()> load, Counters& counters, Logger& log)
    : reactor_(reactor),
      role_(std::move(role)),
      load_(std::move(load)),
      options_(process_config.options.members) {
  if (!options_.enabled()) return;
  if (options_.peers.empty())
    throw std::runtime_error(
        "members: no peers; name their networks in section 'members' of the operators' file");
  if (process_config.config.name.size() > members::kMaxNameBytes)
    throw std::runtime_error(
        fmt::format("members: the name of this instance is longer than {} bytes", members::kMaxNameBytes));
  listen_host_ = process_config.config.listen.substr(0, process_config.config.listen.rfind(':'));
  transport_ =
      std::make_unique<peers::MembershipTransport>(reactor, options_, process_config.config.name,
                                                   new_member_epoch(), std::random_device{}(), counters, log);
  transport_->on_change = [this] {
    if (on_change) on_change();
  };
}

Membership::~Membership() { reactor_.cancel(timer_); }

void Membership::register_command(control::Server& control) {
  control.add_handler("members", [this](const std::vector<std::string>& tokens) {
    if (!transport_)
      throw std::runtime_error("membership is off: no 'bind' in section 'members' of the operators' file");
    return transport_->status(tokens.size() > 1 && tokens[1] == "json");
  });
}

void Membership::start(std::uint16_t service_port) {
  if (!transport_) return;
  load_report_.role = role_;
  load_report_.zone = options_.zone;
  load_report_.build = DAMSONSPOKE_VERSION;
  load_report_.config_generation = 1;
  load_report_.service_address = options_.service_address.empty()
                                     ? fmt::format("{}:{}", listen_host_, service_port)
                                     : options_.service_address;
  transport_->start();
  publish_load_report();
}

void Membership::publish_load_report() {
  const Load load = load_();
  const double used_share = std::clamp(load.open_requests / std::max(load.max_open_requests, 1.0), 0.0, 1.0);
  const double free = std::clamp(load.max_open_requests - load.open_requests, 0.0, kMaxFreeCapacity);
  load_report_.load_permille = static_cast<std::uint16_t>(used_share * kPermille);
  load_report_.free_capacity = static_cast<std::uint16_t>(free);
  transport_->set_load_report(load_report_);
  timer_ = reactor_.after(kLoadReportIntervalSeconds, [this] { publish_load_report(); });
  if (on_change) on_change();
}

void Membership::leave() {
  if (transport_ && !is_leaving_) transport_->leave();
  is_leaving_ = true;
}

// The addresses and the cluster of the start stay in effect.
void Membership::on_configuration_reloaded(const ProcessConfig& process_config) {
  ++load_report_.config_generation;
  load_report_.zone = process_config.options.members.zone;
}

void Membership::report() {
  if (transport_) transport_->report();
}

std::vector<tier::PlannerStatus> Membership::planners() const {
  std::vector<tier::PlannerStatus> found;
  if (!transport_) return found;
  for (const members::MemberStatus& member : transport_->known_members()) {
    if (!member.load_report || member.load_report->role != "planner") continue;
    const std::string& address = member.load_report->service_address;
    if (!transport_->may_reach(address)) continue;  // a forged report must not lead to other networks
    found.push_back({address, may_serve(member.state), member.state == MemberState::kLeft});
  }
  return found;
}

}  // namespace damsonspoke

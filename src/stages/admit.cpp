#include "stages/admit.h"

#include "stages/learn.h"
#include "stages/route.h"

namespace damsonspoke::stages {
namespace {

// s before a wake: the gauges are asked for then, so that they are there and still new when it comes; a wake
// itself never waits for them.
constexpr double kGaugeLead = 0.008;
constexpr double kLateWake = 0.005;  // s; counted as late over this: polls count in whole milliseconds

}  // namespace

Admit::Admit(net::Reactor& reactor, const StartSettings& site, const catalog::Catalog& catalog,
             std::uint64_t seed, Route& route, Learn& learn, const peers::Ports& peers, Counters& counters)
    : reactor_(reactor),
      settings_(site.settings),
      catalog_(catalog),
      seed_(seed),
      route_(route),
      learn_(learn),
      peers_(peers),
      counters_(counters) {
  route_.set_wakes([this](double time, std::uint64_t token) { wake_at(time, token); });
}

void Admit::begin(bool cold, double ago) {
  settings_.cold = cold;
  decider_ = std::make_unique<Decider>(settings_, seed_, route_, net::monotonic_now() - (cold ? ago : 0),
                                       learn_.prior(), &catalog_);
}

void Admit::wake_at(double time, std::uint64_t token) {
  reactor_.at(time - kGaugeLead, [this] { peers_.runtime->ask_gauges(); });
  reactor_.at(time, [this, time, token] { wake(time, token); });
}

void Admit::wake(double time, std::uint64_t token) {
  const double now = net::monotonic_now();
  counters_.add(Count::kWakes);
  if (now - time > kLateWake) counters_.add(Count::kWakesLate);
  counters_.most(Count::kWakeMostUs, static_cast<std::uint64_t>((now - time) * 1e6));
  const Gauges gauges = peers_.runtime->gauges(now);
  if (gauges.cpu_busy < 0) counters_.add(Count::kGaugesStale);
  decider_->on_wake(now, token, gauges);
}

void Admit::on_op(const Op& op) { decider_->on_op(net::monotonic_now(), op); }
void Admit::on_run_end(OpId id, Outcome outcome, double spent) {
  decider_->on_run_end(net::monotonic_now(), id, outcome, spent);
}
void Admit::on_call_needed(OpId id) { decider_->on_call_needed(net::monotonic_now(), id); }
void Admit::on_call_end(OpId id, Outcome outcome, double spent) {
  decider_->on_call_end(net::monotonic_now(), id, outcome, spent);
}
void Admit::on_gone(OpId id) { decider_->on_gone(net::monotonic_now(), id); }
void Admit::on_leave(double time_left) {
  if (decider_) decider_->on_leave(net::monotonic_now(), time_left);
}

}  // namespace damsonspoke::stages

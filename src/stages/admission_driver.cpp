#include "stages/admission_driver.h"

#include "stages/decision_executor.h"
#include "stages/statistics_persistence.h"

namespace damsonspoke::stages {
namespace {

// s before a wake: the gauges are asked for then, so that they are there and still new when it comes; a wake
// itself never waits for them.
constexpr double kGaugeLead = 0.008;
constexpr double kLateWake = 0.005;  // s; counted as late over this: polls count in whole milliseconds

}  // namespace

AdmissionDriver::AdmissionDriver(net::Reactor& reactor, const StartSettings& site,
                                 const catalog::Catalog& catalog, std::uint64_t seed, DecisionExecutor& route,
                                 StatisticsPersistence& statistics, const peers::Ports& peers,
                                 Counters& counters)
    : reactor_(reactor),
      settings_(site.admission),
      catalog_(catalog),
      seed_(seed),
      executor_(route),
      statistics_(statistics),
      peers_(peers),
      counters_(counters) {
  executor_.set_wakes([this](double time, std::uint64_t token) { schedule_wakeup(time, token); });
}

void AdmissionDriver::begin(bool cold, double ago) {
  settings_.slow_start = cold;
  controller_ = std::make_unique<AdmissionController>(
      settings_, seed_, executor_, net::monotonic_now() - (cold ? ago : 0), statistics_.prior(), &catalog_);
}

void AdmissionDriver::schedule_wakeup(double time, std::uint64_t token) {
  reactor_.at(time - kGaugeLead, [this] { peers_.runtime->ask_gauges(); });
  reactor_.at(time, [this, time, token] { wake(time, token); });
}

void AdmissionDriver::wake(double time, std::uint64_t token) {
  const double now = net::monotonic_now();
  counters_.add(Count::kWakes);
  if (now - time > kLateWake) counters_.add(Count::kWakesLate);
  counters_.most(Count::kWakeMostUs, static_cast<std::uint64_t>((now - time) * 1e6));
  const Gauges gauges = peers_.runtime->gauges(now);
  if (gauges.cpu_busy < 0) counters_.add(Count::kGaugesStale);
  controller_->on_timer(now, token, gauges);
}

void AdmissionDriver::on_request(const Request& request) {
  controller_->on_request(net::monotonic_now(), request);
}
void AdmissionDriver::on_run_finished(RequestId id, Outcome outcome, double spent) {
  controller_->on_run_finished(net::monotonic_now(), id, outcome, spent);
}
void AdmissionDriver::on_call_needed(RequestId id) { controller_->on_call_needed(net::monotonic_now(), id); }
void AdmissionDriver::on_call_finished(RequestId id, Outcome outcome, double spent) {
  controller_->on_call_finished(net::monotonic_now(), id, outcome, spent);
}
void AdmissionDriver::on_caller_gone(RequestId id) { controller_->on_caller_gone(net::monotonic_now(), id); }
void AdmissionDriver::on_drain(double time_left) {
  if (controller_) controller_->on_drain(net::monotonic_now(), time_left);
}

}  // namespace damsonspoke::stages

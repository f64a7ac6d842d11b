#include "stages/admission_driver.h"

#include "stages/decision_executor.h"
#include "stages/statistics_persistence.h"

namespace damsonspoke::stages {
namespace {

// The gauges are requested this long before a timer fires, so that a fresh reading is available then.
constexpr double kGaugeLeadSeconds = 0.008;
constexpr double kLateTimerSeconds = 0.005;  // longer delays count as late; polling has a resolution of 1 ms
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

AdmissionDriver::AdmissionDriver(net::Reactor& reactor, const StartSettings& site,
                                 const catalog::Catalog& catalog, std::uint64_t seed,
                                 DecisionExecutor& executor, StatisticsPersistence& statistics,
                                 const peers::Ports& peers, Counters& counters)
    : reactor_(reactor),
      options_(site.admission),
      catalog_(catalog),
      seed_(seed),
      executor_(executor),
      statistics_(statistics),
      peers_(peers),
      counters_(counters) {
  executor_.set_timer([this](double time, std::uint64_t token) { schedule_wakeup(time, token); });
}

void AdmissionDriver::start(bool is_cold, double seconds_ago) {
  if (is_draining_) return;
  options_.slow_start = is_cold;
  const double started_at = net::monotonic_now() - (is_cold ? seconds_ago : 0);
  controller_ = std::make_unique<AdmissionController>(options_, seed_, executor_, started_at,
                                                      statistics_.take_prior(), &catalog_);
}

void AdmissionDriver::schedule_wakeup(double time, std::uint64_t token) {
  reactor_.at(time - kGaugeLeadSeconds, [this] { peers_.runtime->request_gauges(); });
  reactor_.at(time, [this, time, token] { on_timer(time, token); });
}

void AdmissionDriver::on_timer(double scheduled_at, std::uint64_t token) {
  const double now = net::monotonic_now();
  const double late = now - scheduled_at;
  counters_.add(Count::kTimersFired);
  if (late > kLateTimerSeconds) counters_.add(Count::kTimersLate);
  counters_.update_max(Count::kTimersMaxDelayUs, static_cast<std::uint64_t>(late * kMicrosecondsPerSecond));
  const Gauges gauges = peers_.runtime->gauges(now);
  if (gauges.cpu_busy < 0) counters_.add(Count::kGaugesStale);
  controller_->on_timer(now, token, gauges);
}

void AdmissionDriver::on_request(const Request& request) {
  controller_->on_request(net::monotonic_now(), request);
}

void AdmissionDriver::on_run_finished(RequestId id, Outcome outcome, double run_seconds) {
  controller_->on_run_finished(net::monotonic_now(), id, outcome, run_seconds);
}

void AdmissionDriver::on_call_needed(RequestId id) { controller_->on_call_needed(net::monotonic_now(), id); }

void AdmissionDriver::on_call_finished(RequestId id, Outcome outcome, double call_seconds) {
  controller_->on_call_finished(net::monotonic_now(), id, outcome, call_seconds);
}

void AdmissionDriver::on_caller_disconnected(RequestId id) {
  controller_->on_caller_disconnected(net::monotonic_now(), id);
}

void AdmissionDriver::on_drain(double time_left) {
  is_draining_ = true;
  if (controller_) controller_->on_drain(net::monotonic_now(), time_left);
}

}  // namespace damsonspoke::stages

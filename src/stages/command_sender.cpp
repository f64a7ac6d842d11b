#include "stages/command_sender.h"

#include "net/reactor.h"

namespace damsonspoke::stages {

void CommandSender::start(InFlightRequest& request) {
  counters_.add(Count::kRunsStarted);
  request.run = RunStage::kRunning;
  request.started = true;
  const bool may_repeat = request.route_settings.idempotency == Idempotency::kIdempotent;
  peers_.runtime->start(
      {request.id, request.route_name, request.body, may_repeat, request.deadline - net::unix_now()});
}

void CommandSender::resume(InFlightRequest& request) {
  counters_.add(Count::kRunsResumed);
  request.run = RunStage::kRunning;
  peers_.runtime->resume(request.id, request.deadline - net::unix_now());
}

void CommandSender::stop(InFlightRequest& request) {
  if (request.run == RunStage::kRecordingKey) return;  // an answered request is not started
  if (site_.admission.preemption == Preemption::kOff) return;
  counters_.add(Count::kRunsStopped);
  peers_.runtime->stop(request.id);
}

void CommandSender::call(InFlightRequest& request, double timeout) {
  peers_.dependency->call(request.id, timeout > 0 ? timeout : request.route_settings.timeout,
                          request.call_body);
}

void CommandSender::deliver_reply(InFlightRequest& request, std::string_view reply) {
  request.run = RunStage::kRunning;
  request.call_body.clear();
  const bool may_be_skipped = request.route_settings.value_without_call > 0;
  peers_.runtime->send_reply(request.id, reply,
                             {request.call_notice, may_be_skipped, request.deadline - net::unix_now()});
}

void CommandSender::skip_call(InFlightRequest& request) {
  counters_.add(Count::kCallsSkipped);
  request.run = RunStage::kRunning;
  request.call_body.clear();
  peers_.runtime->skip_call(request.id, request.call_notice);
}

void CommandSender::set_health(bool healthy, bool from_store) {
  healthy_ = healthy;
  from_store_ = from_store;
  peers_.callers->set_healthy(healthy && !draining_);
  peers_.registry->report(!draining_ && (healthy || !site_.registry_follows_health));
}

void CommandSender::drain() {
  draining_ = true;
  peers_.registry->report(false);
}

void CommandSender::announce_drain() { peers_.callers->announce_drain(); }

}  // namespace damsonspoke::stages

#include "stages/command_sender.h"

namespace damsonspoke::stages {

void CommandSender::start(InFlightRequest& request) {
  counters_.add(Count::kRunsStarted);
  request.run = Run::kOnCores;
  request.started = true;
  peers_.runtime->start(request.id, request.route_name, request.body);
}

void CommandSender::resume(InFlightRequest& request) {
  counters_.add(Count::kRunsResumed);
  request.run = Run::kOnCores;
  peers_.runtime->resume(request.id);
}

void CommandSender::stop(InFlightRequest& request) {
  if (request.run == Run::kRecording) return;  // nothing runs yet, and what is answered will not start
  if (site_.admission.preemption == Preemption::kOff) return;  // the runtime would not carry it out
  counters_.add(Count::kRunsStopped);
  peers_.runtime->stop(request.id);
}

void CommandSender::call(InFlightRequest& request, double patience) {
  peers_.dependency->call(request.id, patience > 0 ? patience : request.route_settings.timeout,
                          request.call_body);
}

void CommandSender::give(InFlightRequest& request, std::string_view reply) {
  request.run = Run::kOnCores;
  request.call_body.clear();
  peers_.runtime->give(request.id, reply);
}

void CommandSender::omit(InFlightRequest& request) {
  counters_.add(Count::kCallsOmitted);
  request.run = Run::kOnCores;
  request.call_body.clear();
  peers_.runtime->omit(request.id, request.call_notice);
}

void CommandSender::health(bool good, bool from_store) {
  good_ = good;
  from_store_ = from_store;
  peers_.callers->health(good && !leaving_);
  peers_.registry->report(!leaving_ && (good || !site_.registry_follows_health));
}

void CommandSender::leaving() {
  leaving_ = true;
  peers_.registry->report(false);
  peers_.callers->ask_no_more();
}

}  // namespace damsonspoke::stages

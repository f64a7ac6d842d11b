#include "stages/send.h"

namespace damsonspoke::stages {

void Send::start(OpenOp& op) {
  counters_.add(Count::kRunsStarted);
  op.run = Run::kOnCores;
  op.started = true;
  peers_.runtime->start(op.id, op.type_name, op.body);
}

void Send::resume(OpenOp& op) {
  counters_.add(Count::kRunsResumed);
  op.run = Run::kOnCores;
  peers_.runtime->resume(op.id);
}

void Send::stop(OpenOp& op) {
  if (op.run == Run::kRecording) return;          // nothing runs yet, and what is answered will not start
  if (site_.settings.halt == Halt::kOff) return;  // the runtime would not carry it out
  counters_.add(Count::kRunsStopped);
  peers_.runtime->stop(op.id);
}

void Send::call(OpenOp& op, double patience) {
  peers_.below->call(op.id, patience > 0 ? patience : op.settings.op_timeout, op.call_body);
}

void Send::give(OpenOp& op, std::string_view reply) {
  op.run = Run::kOnCores;
  op.call_body.clear();
  peers_.runtime->give(op.id, reply);
}

void Send::omit(OpenOp& op) {
  counters_.add(Count::kCallsOmitted);
  op.run = Run::kOnCores;
  op.call_body.clear();
  peers_.runtime->omit(op.id, op.wanted);
}

void Send::health(bool good, bool from_store) {
  good_ = good;
  from_store_ = from_store;
  peers_.callers->health(good && !leaving_);
  peers_.roster->report(!leaving_ && (good || !site_.list_follows));
}

void Send::leaving() {
  leaving_ = true;
  peers_.roster->report(false);
  peers_.callers->ask_no_more();
}

}  // namespace damsonspoke::stages

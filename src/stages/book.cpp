#include "stages/book.h"

#include <algorithm>

#include "net/reactor.h"
#include "watch/invariants.h"

namespace damsonspoke::stages {
namespace {

const char* text_of(Count answer) {
  switch (answer) {
    case Count::kOpsAcked: return "acked";
    case Count::kOpsNacked: return "rejected";
    case Count::kOpsFailed: return "failed";
    default: return "gone";
  }
}

}  // namespace

OpenOp& Book::enter(OpenOp op) {
  const OpId id = op.id;
  counters_.add(Count::kOpsRead);
  must_hold(!open_.contains(id), counters_);
  ++unanswered_;
  return open_[id] = std::move(op);
}

OpenOp* Book::find(OpId id) {
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

bool Book::answer(OpenOp& op, Count as) {
  if (op.answered) return false;
  op.answered = true;
  must_hold(unanswered_ > 0, counters_);
  --unanswered_;
  counters_.add(as);
  if (log_ != nullptr) {
    log_->debug("op", "{:016x} {} by version {}.{}, route {}", op.id, text_of(as), op.version.epoch,
                op.version.sequence, op.type_name);
  }
  if (as != Count::kOpsGone && net::unix_now() > op.due) counters_.add(Count::kOpsOverdue);
  return true;
}

void Book::ack(OpenOp& op, std::string_view result) {
  if (answer(op, Count::kOpsAcked)) peers_.callers->answer_acked(op.ticket, result);
}
void Book::nack(OpenOp& op, double come_back_in, bool no_retry) {
  // A nack says that it never ran: one that has may only fail.
  if (!must_hold(op.run == Run::kNone, counters_)) return fail(op);
  if (answer(op, Count::kOpsNacked)) peers_.callers->answer_nacked(op.ticket, come_back_in, no_retry);
}
void Book::fail(OpenOp& op, peers::Failure why) {
  if (answer(op, Count::kOpsFailed)) peers_.callers->answer_failed(op.ticket, why);
}
std::vector<OpId> Book::at_runtime() const {
  std::vector<OpId> ids;
  for (const auto& [id, op] : open_) {
    if (op.run == Run::kOnCores || op.run == Run::kPaused || op.run == Run::kAtCall) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}
void Book::caller_gone(OpenOp& op) { answer(op, Count::kOpsGone); }

void Book::settle(OpenOp& op) {
  // A paused run of an op that is over is dropped by the runtime, which tells nothing more of it.
  if (!op.answered || (op.run != Run::kNone && op.run != Run::kPaused)) return;
  const OpId id = op.id;
  if (on_closed_) on_closed_(op);
  peers_.runtime->forget(id);
  open_.erase(id);
}

}  // namespace damsonspoke::stages

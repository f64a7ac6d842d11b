#include "stages/take_in.h"

#include <algorithm>

namespace damsonspoke::stages {
namespace {

constexpr double kLateRead = 0.020;  // s; counted as late over this
constexpr double kOverdueLeft =
    1e-6;  // s; what is left of a wait that is over: 0 would say that none was told
constexpr double kSelfTestPatience = 2;     // s; a check that hangs longer has failed
constexpr std::size_t kMostSelfTests = 64;  // at once; more checks than that wait for nothing

}  // namespace

TakeIn::~TakeIn() {
  for (auto& [tag, check] : checks_) reactor_.cancel(check.patience);
}

bool TakeIn::has_started(OpId id) const {
  const OpenOp* op = stages_.book.find(id);
  return op != nullptr && op->started;
}

void TakeIn::on_op_read(peers::IncomingOp in) {
  const double now = net::unix_now();
  const OpType& type = catalog_.op_type(in.type);
  Op op;
  op.id = in.id;
  op.type = in.type;
  op.key = in.key;
  op.held_kb = in.held_kb;
  op.caller = in.caller;
  op.customer = in.customer;
  op.again = in.again;
  op.write = in.key == 0;
  if (site_.hints) op.work_hint = in.work;  // where the site says so; else a caller's figure means nothing
  op.age = in.door > 0 ? std::max(0.0, now - in.door) : 0;
  if (in.limit > 0) op.remaining_wait = std::max(kOverdueLeft, in.limit - op.age);
  counters_.add(Count::kReadSumUs, static_cast<std::uint64_t>(op.age * 1e6));
  counters_.most(Count::kReadMostUs, static_cast<std::uint64_t>(op.age * 1e6));
  if (op.age > kLateRead) counters_.add(Count::kReadsLate);

  OpenOp open;
  open.id = in.id;
  open.type = in.type;
  open.type_name = catalog_.route_name(in.type);
  open.settings = type;
  open.version = catalog_.version();
  open.ticket = in.ticket;
  if (!stages_.recall.on()) {
    open.body = std::move(in.body);
  } else {
    open.body = in.body;  // the digest is of it
  }
  open.due = now - op.age + (in.limit > 0 ? in.limit : type.op_timeout);
  OpenOp& entered = stages_.book.enter(std::move(open));
  if (!stages_.admit.begun()) {  // nothing runs yet: others may have room
    stages_.book.nack(entered, 0, false);
    return stages_.book.settle(entered);
  }
  if (stages_.recall.meet(op, in, entered)) return stages_.book.settle(entered);
  if (in.known_only && op.original == 0) {  // nothing is remembered here, so nobody can say: it never runs
    stages_.book.nack(entered, 0, true);
    return stages_.book.settle(entered);
  }
  stages_.admit.on_op(op);
}

void TakeIn::on_caller_gone(OpId id) {
  OpenOp* op = stages_.book.find(id);
  if (op == nullptr || op->answered) return;
  stages_.book.caller_gone(*op);
  if (op->run == Run::kAtCall) stages_.send.give_up_call(*op);
  stages_.admit.on_gone(id);
  if ((op = stages_.book.find(id)) != nullptr) stages_.book.settle(*op);
}

void TakeIn::on_check(peers::Ticket ticket, bool wants_work) {
  const bool good = stages_.admit.begun() && stages_.send.good();
  const bool works = good && wants_work && site_.settings.deep_checks && !stages_.send.from_store();
  if (!works || checks_.size() >= kMostSelfTests) return peers_.callers->answer_check(ticket, good);
  const std::uint64_t tag = next_check_++;
  checks_[tag] = {ticket, reactor_.after(kSelfTestPatience, [this, tag] { on_verdict(tag, false); })};
  peers_.runtime->self_test(tag);
}

void TakeIn::on_verdict(std::uint64_t tag, bool good) {
  const auto found = checks_.find(tag);
  if (found == checks_.end()) return;
  reactor_.cancel(found->second.patience);
  peers_.callers->answer_check(found->second.ticket, good && stages_.send.good());
  checks_.erase(found);
}

}  // namespace damsonspoke::stages

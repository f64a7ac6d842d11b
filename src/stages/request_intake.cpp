#include "stages/request_intake.h"

#include <algorithm>

namespace damsonspoke::stages {
namespace {

constexpr double kLateRead = 0.020;  // s; counted as late over this
constexpr double kOverdueLeft =
    1e-6;  // s; what is left of a wait that is over: 0 would say that none was told
constexpr double kSelfTestPatience = 2;     // s; a check that hangs longer has failed
constexpr std::size_t kMostSelfTests = 64;  // at once; more checks than that wait for nothing

}  // namespace

RequestIntake::~RequestIntake() {
  for (auto& [tag, check] : checks_) reactor_.cancel(check.patience);
}

bool RequestIntake::has_started(RequestId id) const {
  const InFlightRequest* request = stages_.in_flight.find(id);
  return request != nullptr && request->started;
}

void RequestIntake::on_request_read(peers::IncomingRequest in) {
  const double now = net::unix_now();
  const Route& type = catalog_.route(in.route);
  Request request;
  request.id = in.id;
  request.route = in.route;
  request.subject = in.subject;
  request.size_kb = in.size_kb;
  request.caller = in.caller;
  request.tenant = in.tenant;
  request.is_retry = in.is_retry;
  request.is_write = in.subject == 0;
  if (site_.has_work_hints)
    request.work_hint = in.work_hint;  // where the site says so; else a caller's figure means nothing
  request.age = in.received_at > 0 ? std::max(0.0, now - in.received_at) : 0;
  if (in.client_timeout > 0)
    request.remaining_timeout = std::max(kOverdueLeft, in.client_timeout - request.age);
  counters_.add(Count::kReadSumUs, static_cast<std::uint64_t>(request.age * 1e6));
  counters_.most(Count::kReadMostUs, static_cast<std::uint64_t>(request.age * 1e6));
  if (request.age > kLateRead) counters_.add(Count::kReadsLate);

  InFlightRequest open;
  open.id = in.id;
  open.route = in.route;
  open.route_name = catalog_.route_name(in.route);
  open.route_settings = type;
  open.version = catalog_.version();
  open.reply_to = in.reply_to;
  if (!stages_.replay.on()) {
    open.body = std::move(in.body);
  } else {
    open.body = in.body;  // the digest is of it
  }
  open.due = now - request.age + (in.client_timeout > 0 ? in.client_timeout : type.timeout);
  InFlightRequest& entered = stages_.in_flight.enter(std::move(open));
  if (!stages_.admission.begun()) {  // nothing runs yet: others may have room
    stages_.in_flight.reject(entered, 0, false);
    return stages_.in_flight.settle(entered);
  }
  if (stages_.replay.meet(request, in, entered)) return stages_.in_flight.settle(entered);
  if (in.known_only &&
      request.duplicate_of == 0) {  // nothing is remembered here, so nobody can say: it never runs
    stages_.in_flight.reject(entered, 0, true);
    return stages_.in_flight.settle(entered);
  }
  stages_.admission.on_request(request);
}

void RequestIntake::on_caller_gone(RequestId id) {
  InFlightRequest* request = stages_.in_flight.find(id);
  if (request == nullptr || request->answered) return;
  stages_.in_flight.caller_gone(*request);
  if (request->run == Run::kAtCall) stages_.send.give_up_call(*request);
  stages_.admission.on_caller_gone(id);
  if ((request = stages_.in_flight.find(id)) != nullptr) stages_.in_flight.settle(*request);
}

void RequestIntake::on_check(peers::ReplyAddress ticket, bool wants_work) {
  const bool good = stages_.admission.begun() && stages_.send.good();
  const bool works = good && wants_work && site_.admission.deep_checks && !stages_.send.from_store();
  if (!works || checks_.size() >= kMostSelfTests) return peers_.callers->answer_check(ticket, good);
  const std::uint64_t tag = next_check_++;
  checks_[tag] = {ticket, reactor_.after(kSelfTestPatience, [this, tag] { on_verdict(tag, false); })};
  peers_.runtime->self_test(tag);
}

void RequestIntake::on_verdict(std::uint64_t tag, bool good) {
  const auto found = checks_.find(tag);
  if (found == checks_.end()) return;
  reactor_.cancel(found->second.patience);
  peers_.callers->answer_check(found->second.ticket, good && stages_.send.good());
  checks_.erase(found);
}

}  // namespace damsonspoke::stages

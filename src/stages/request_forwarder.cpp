#include "stages/request_forwarder.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace damsonspoke::stages {
namespace {

namespace wt = wire::tier;

constexpr double kRejectionRest =
    0.25;                      // s; a planner that rejections at once is sent four windows a second, no flood
constexpr double kLook = 0.1;  // s; between looks at health, for the roster
constexpr double kSixteenth = 16;  // of a kB, as sizes stand on the wire
constexpr double kMicro = 1e-6;
// Between attempts' numbers at most: one guess in 8 million hits the next, and 64 bits last for 10^12
// attempts.
constexpr std::uint64_t kNumberSteps = 1 << 24;
constexpr double kReadPatience = 2;         // s at the start, for the folder of the lists
constexpr std::size_t kRequestBytes = 512;  // that an open request takes beside its body

std::uint32_t micros(double seconds) {
  return static_cast<std::uint32_t>(std::clamp(seconds * 1e6, 0.0, 4e9));
}

tier::AnswerKind kind_of(wt::Result result) {
  switch (result) {
    case wt::Result::kSucceeded: return tier::AnswerKind::kSucceeded;
    case wt::Result::kRejected: return tier::AnswerKind::kRejected;
    case wt::Result::kNeverRan: return tier::AnswerKind::kNeverRan;
    case wt::Result::kRunning: return tier::AnswerKind::kRunning;
    case wt::Result::kForgotten: return tier::AnswerKind::kForgotten;
    case wt::Result::kNotKnown: return tier::AnswerKind::kNotKnown;
    case wt::Result::kFailed:
    case wt::Result::kUnknown:
    case wt::Result::kConflict: break;
  }
  return tier::AnswerKind::kFailed;
}

// A key is remembered for its window from when it was admitted, which is within its request's own time; and
// what a forwarder sends by an old list may be admitted so much after it has a new one.
tier::KeyOwnershipOptions homes_of(const ForwardOptions& options, const StartSettings& site) {
  double window = 0, longest = 0;
  for (const Route& type : site.admission.routes) {
    if (type.idempotency != Idempotency::kWithKey) continue;
    window = std::max(window, type.idempotency_window);
    longest = std::max(longest, type.timeout);
  }
  return {options.reload_spread + longest, window > 0 ? window + 2 * longest : 0};
}

tier::DispatchOptions terms_of(const ForwardOptions& options, const StartSettings& site) {
  tier::DispatchOptions terms;
  terms.picker.rejection_rest = kRejectionRest;
  terms.homes = homes_of(options, site);
  terms.retry_share = options.retry_share;
  terms.link_patience = options.link_patience;
  terms.queue_requests = options.line;
  terms.line_bytes = options.line_memory;
  terms.by_key = options.by_subject;
  terms.number_steps = kNumberSteps;
  if (site.admission.sends_retry_after && site.admission.max_retry_after > 0)
    terms.outlook.most_come_back = site.admission.max_retry_after;
  return terms;
}

}  // namespace

RequestForwarder::RequestForwarder(net::Reactor& reactor, const Ports& ports, const StartSettings& site,
                                   const ForwardOptions& options, const ResultsOptions& results,
                                   std::size_t body_bytes, std::uint64_t seed, Counters& counters,
                                   Logger& log)
    : reactor_(reactor),
      ports_(ports),
      site_(site),
      digest_by_caller_(results.digest_by_caller),
      counters_(counters),
      log_(log),
      random_(seed),
      most_body_bytes_(body_bytes),
      dispatch_(std::make_unique<tier::Dispatch>(
          terms_of(options, site), site.admission.routes.size(), options.planners,
          static_cast<tier::DispatchSink&>(*this),
          [this] { return std::ldexp(static_cast<double>(random_() >> 11), -53); }, net::monotonic_now())),
      homes_(homes_of(options, site)),
      lists_{options.planners, {}} {
  if (options.folder.empty()) return;
  kept_ = std::make_unique<store::PersistedFile>(
      [folder = options.folder] { return store::open_folder(folder); }, "planners",
      tier::kEndpointListHistoryForm, tier::kMaxEndpointListHistoryBytes);
}

RequestForwarder::~RequestForwarder() {
  reactor_.cancel(wake_timer_);
  reactor_.cancel(look_timer_);
}

void RequestForwarder::begin() {
  recall_lists();
  link_planners();
  look();
}

// ---- Callers.
void RequestForwarder::on_request_read(peers::IncomingRequest in) {
  counters_.add(Count::kRequestsRead);
  const double now = net::unix_now();
  const Route& type = site_.admission.routes[static_cast<std::size_t>(in.route)];
  const double age = in.received_at > 0 ? std::max(0.0, now - in.received_at) : 0;
  tier::ForwardedRequest request;
  request.id = in.id;
  request.route = in.route;
  request.caller = in.caller;
  request.subject = in.subject;
  request.idempotency_key_hash = home_mark(in);
  request.priority_weight = type.priority_weight;
  request.remaining_time = (in.client_timeout > 0 ? in.client_timeout : type.timeout) - age;
  request.bytes = kRequestBytes + in.body.size() + in.idempotency_key.size();
  if (in.received_at <= 0) in.received_at = now;
  body_bytes_ += request.bytes;
  const RequestId id = in.id;
  const bool room = body_bytes_ <= most_body_bytes_;
  open_[id] = {std::move(in), now + request.remaining_time};
  // More requests open than there is memory for: the newcomer goes, whatever it is worth; the line's own
  // bound is lower and goes by importance.
  if (!room) return reply(id, tier::LocalAnswer::kRejected, 0, false);
  dispatch_->on_request(request, net::monotonic_now());
}

std::uint64_t RequestForwarder::home_mark(const peers::IncomingRequest& request) const {
  if (site_.admission.routes[static_cast<std::size_t>(request.route)].idempotency != Idempotency::kWithKey)
    return 0;
  const auto seed = static_cast<std::uint64_t>(request.route) + 1;
  if (!request.idempotency_key.empty())
    return XXH3_64bits_withSeed(request.idempotency_key.data(), request.idempotency_key.size(), seed) | 1;
  const std::uint64_t of_caller = digest_by_caller_ ? request.caller : 0;
  return XXH3_64bits_withSeed(request.body.data(), request.body.size(),
                              seed + of_caller * 0x9e3779b97f4a7c15ULL) |
         1;
}

RequestForwarder::Open RequestForwarder::take_out(RequestId id, Count as) {
  const auto found = open_.find(id);
  Open out = std::move(found->second);
  open_.erase(found);
  body_bytes_ -= kRequestBytes + out.request.body.size() + out.request.idempotency_key.size();
  counters_.add(as);
  if (as != Count::kRequestsGone && net::unix_now() > out.due) counters_.add(Count::kRequestsOverdue);
  return out;
}

void RequestForwarder::on_caller_disconnected(RequestId id) {
  if (!open_.contains(id)) return;
  dispatch_->on_caller_gone(id, net::monotonic_now());
  take_out(id, Count::kRequestsGone);
}

void RequestForwarder::on_health_check(peers::ReplyAddress ticket, bool /*wants_work*/) {
  ports_.callers->answer_health_check(ticket, dispatch_->healthy(net::monotonic_now()));
}

// ---- Planners.
void RequestForwarder::on_link_up(int planner, std::uint64_t epoch, std::uint32_t window) {
  dispatch_->on_link_up(planner, epoch, window, net::monotonic_now());
  look();
}
void RequestForwarder::on_link_lost(int planner, const std::vector<std::uint64_t>& unwritten) {
  dispatch_->on_link_lost(planner, unwritten, net::monotonic_now());
}
void RequestForwarder::on_window(int planner, const wt::Window& window) {
  dispatch_->on_window(planner, window.window, window.slot_worth / 1000.0, window.good, net::monotonic_now());
}
void RequestForwarder::on_no_more(int planner) {
  dispatch_->on_no_more(planner, net::monotonic_now());
  if (dispatch_->attempts().open_at(planner) == 0) ports_.planners->done_with(planner);
}

void RequestForwarder::on_answer(int planner, std::uint64_t epoch, const wt::Answer& answer) {
  const std::optional<RequestId> over =
      dispatch_->on_answer(planner, epoch, answer.attempt, kind_of(answer.result),
                           answer.retry_after_us * kMicro, answer.no_retry, net::monotonic_now());
  if (over) {
    const bool succeeded = answer.result == wt::Result::kSucceeded;
    const Open open = take_out(*over, succeeded ? Count::kRequestsSucceeded : Count::kRequestsFailed);
    if (succeeded) {
      ports_.callers->answer_succeeded(open.request.reply_to, answer.body);
    } else {
      ports_.callers->answer_failed(
          open.request.reply_to, answer.result == wt::Result::kUnknown ? peers::FailureReason::kOutcomeUnknown
                                 : answer.result == wt::Result::kConflict ? peers::FailureReason::kKeyConflict
                                                                          : peers::FailureReason::kFailed);
    }
  }
  if (dispatch_->attempts().open_at(planner) == 0) ports_.planners->done_with(planner);
}

// ---- What was decided.
void RequestForwarder::send(int planner, tier::Attempt attempt, RequestId id, double left, bool known_only) {
  const peers::IncomingRequest& request = open_.at(id).request;
  wt::Submit submit;
  submit.attempt = attempt;
  submit.request = request.id;
  submit.route = static_cast<std::uint16_t>(request.route);
  submit.caller = request.caller;
  submit.subject = request.subject;
  submit.size_sixteenth_kb = static_cast<std::uint32_t>(std::clamp(request.size_kb * kSixteenth, 1.0, 4e9));
  submit.age_us = micros(net::unix_now() - request.received_at);
  submit.remaining_us = micros(left);
  submit.known_only = known_only;
  submit.idempotency_key = request.idempotency_key;
  submit.body = request.body;
  ports_.planners->submit(planner, submit);
}
void RequestForwarder::cancel(int planner, tier::Attempt attempt) {
  ports_.planners->cancel(planner, attempt);
}
void RequestForwarder::fence(int planner, tier::Attempt attempt) { ports_.planners->fence(planner, attempt); }

void RequestForwarder::reply(RequestId id, tier::LocalAnswer how, double retry_after, bool no_retry) {
  const bool rejected = how == tier::LocalAnswer::kRejected;
  const Open open = take_out(id, rejected ? Count::kRequestsRejected : Count::kRequestsFailed);
  const bool may_say = site_.admission.sends_retry_after;
  if (rejected) {
    ports_.callers->answer_rejected(open.request.reply_to, may_say ? retry_after : 0, no_retry);
  } else {
    ports_.callers->answer_failed(open.request.reply_to, peers::FailureReason::kFailed);
  }
}

void RequestForwarder::schedule_wakeup(double time) {
  if (wake_time_ >= 0 && wake_time_ <= time) return;  // it asks anew when it is woken
  reactor_.cancel(wake_timer_);
  wake_time_ = time;
  wake_timer_ = reactor_.at(time, [this] {
    wake_time_ = -1;
    dispatch_->on_timer(net::monotonic_now());
  });
}

// ---- Its own life.
void RequestForwarder::look() {
  const bool good = dispatch_->healthy(net::monotonic_now());
  if (good != reported_) {
    reported_ = good;
    log_.info("forward", "health: {}", good ? "good" : "bad");
    ports_.registry->report(good || !site_.registry_follows_health);
  }
  link_planners();
  if (kept_) {
    if (const std::optional<std::string> trouble = kept_->take_trouble(); trouble && !trouble->empty())
      log_.warn("forward", "lists of planners not kept: {}", *trouble);
  }
  for (std::size_t i = 0; i < linked_.size(); ++i) {
    const int planner = static_cast<int>(i);
    if (dispatch_->attempts().open_at(planner) == 0) ports_.planners->done_with(planner);
  }
  reactor_.cancel(look_timer_);
  look_timer_ = reactor_.after(kLook, [this] { look(); });
}

void RequestForwarder::leave(double time_left) {
  left_ = true;
  dispatch_->on_drain(time_left, site_.admission.drain_grace, net::monotonic_now());
  ports_.registry->report(false);
  reported_ = false;
  ports_.callers->announce_drain();
}

// Planners by address: those that stay keep their links and what is open there; those that go keep theirs as
// long as they may be asked what they remember.
void RequestForwarder::set_planners(const std::vector<std::string>& addresses) {
  if (addresses != lists_.in_force) {
    const double now = net::unix_now();
    std::erase_if(lists_.former, [&](const tier::FormerEndpointList& one) {
      return now > one.until + homes_.spread + homes_.memory;
    });
    lists_.former.push_back({now, std::exchange(lists_.in_force, addresses)});
    keep_lists();
    dispatch_->set_planners(addresses, net::monotonic_now());
  }
  link_planners();
}

void RequestForwarder::link_planners() {
  const tier::Picker& picker = dispatch_->picker();
  const double now = net::monotonic_now();
  for (std::size_t i = 0; i < picker.size(); ++i) {
    const int planner = static_cast<int>(i);
    if (i == linked_.size()) {
      ports_.planners->add(picker.name(planner));
      linked_.push_back(true);
    }
    const bool over = dispatch_->done_with(planner, now);
    if (linked_[i] == !over) continue;
    linked_[i] = !over;
    over ? ports_.planners->remove(planner) : ports_.planners->restore(planner);
  }
}

// The lists of former lives. Where they can't be read nobody knows which keys have moved.
void RequestForwarder::recall_lists() {
  if (!kept_) return;
  const double now = net::monotonic_now(), unix_now = net::unix_now();
  const std::optional<store::ChecksummedContent> found = kept_->read(kReadPatience);
  const bool missing = found && found->problem == store::ChecksumProblem::kMissing;
  std::optional<tier::EndpointListHistory> before;
  if (found && found->problem == store::ChecksumProblem::kNone)
    before = tier::decode_endpoint_list_history(found->content);
  if (!before && !missing) {
    const std::string why = !found ? "not there in time"
                            : found->problem != store::ChecksumProblem::kNone
                                ? std::string(text_of(found->problem))
                                : "whole, but no lists";
    log_.error("forward", "former lists of planners can't be read ({}): keyed ops are nacked for {:.0f} s",
               why, homes_.spread + homes_.memory);
    dispatch_->unknown_before(now);
  }
  if (before) {
    for (const tier::FormerEndpointList& one : before->former) {
      if (unix_now <= one.until + homes_.spread + homes_.memory) lists_.former.push_back(one);
    }
    if (before->in_force != lists_.in_force) lists_.former.push_back({unix_now, before->in_force});
    // A time that lies ahead is of a clock that was wrong: it counts as now.
    for (const tier::FormerEndpointList& one : lists_.former)
      dispatch_->former_planners(one.planners, now - std::max(0.0, unix_now - one.until), now);
    if (!lists_.former.empty())
      log_.info("forward", "{} former lists of planners are still asked", lists_.former.size());
  }
  keep_lists();
}

void RequestForwarder::keep_lists() {
  if (kept_) kept_->write(tier::encode(lists_));
}

void RequestForwarder::report() {
  const tier::DispatchCounters& c = dispatch_->counts();
  const auto set = [&](Count count, std::uint64_t value) { counters_.set(count, value); };
  set(Count::kTierFirst, c.first_tries);
  set(Count::kTierSecond, c.second_tries);
  set(Count::kTierAsked, c.fences);
  set(Count::kTierProven, c.proven);
  set(Count::kTierDropped, c.dropped_answers);
  set(Count::kTierAdrift, c.adrift);
  set(Count::kTierLost, c.lost);
  set(Count::kTierHere, c.refused_here);
  set(Count::kTierEvicted, c.evicted);
  set(Count::kTierOverdue, c.overdue);
  set(Count::kTierQuestions, c.asked);
  set(Count::kTierKnown, c.known);
  set(Count::kTierEjections, dispatch_->picker().ejections());
  set(Count::kTierWaiting, dispatch_->waiting());
  set(Count::kTierPlanners, ports_.planners->linked());
}

}  // namespace damsonspoke::stages

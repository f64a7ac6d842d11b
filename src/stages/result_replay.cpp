#include "stages/result_replay.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "observability/invariants.h"
#include "stages/admission_driver.h"

namespace damsonspoke::stages {
namespace {

using results::JoinOutcome;
using results::Kind;
using results::LookupOutcome;
using results::State;

constexpr double kLook = 0.05;            // s; between looks at what has aged
constexpr std::size_t kAgedAtOnce = 500;  // entries a look: well under a millisecond, 10,000 a second
constexpr std::size_t kAgedOnArrival = 4;
constexpr double kMsPerSecond = 1000;

std::uint64_t any_seed() {
  std::random_device chance;
  return std::uint64_t{chance()} << 32 | chance();
}

results::CacheLimits bounds_of(const ResultsOptions& options, const StartSettings& site) {
  return {options.memory, options.entries, !options.store.empty(), site.admission.shared_answer_ttl};
}

std::int64_t unix_ms() { return static_cast<std::int64_t>(net::unix_now() * kMsPerSecond); }

// How long repeats may come, by route.
std::unordered_map<std::string, double> windows_of(const catalog::Catalog& catalog) {
  std::unordered_map<std::string, double> windows;
  const catalog::NameIndex& names = catalog.route_names();
  names.visit(0, names.cells(), [&](std::string_view name, int position) {
    const double window = catalog.route(position).idempotency_window;
    if (window > 0) windows[std::string(name)] = window;
  });
  return windows;
}

}  // namespace

ResultReplay::ResultReplay(net::Reactor& reactor, InFlightRequests& in_flight, CommandSender& send,
                           AdmissionDriver& admission, const StartSettings& site,
                           const catalog::Catalog& catalog, const ResultsOptions& options, Counters& counters,
                           Logger& log)
    : reactor_(reactor),
      in_flight_(in_flight),
      sender_(send),
      admission_(admission),
      site_(site),
      options_(options),
      counters_(counters),
      log_(log),
      keys_(options.enabled ? any_seed() : 0),
      table_(bounds_of(options, site)),
      recovery_(windows_of(catalog)),
      by_digest_(options.digest.begin(), options.digest.end()) {
  if (!on()) return;
  if (!options_.store.empty()) {
    results::Store::Options how;
    how.path = options_.store;
    how.power_safe = options_.power_safe;
    how.bytes = options_.disk;
    how.queue = options_.queue;
    results::StoreEvents& events = *this;
    store_ = std::make_unique<results::Store>(reactor_, how, events);
  }
  in_flight_.set_release_listener([this](const InFlightRequest& request) { on_closed(request); });
  look();
}

ResultReplay::~ResultReplay() {
  store_.reset();
  reactor_.cancel(look_timer_);
  for (auto& [id, timer] : recording_) reactor_.cancel(timer);
  for (auto& [id, pending] : pending_) reactor_.cancel(pending.due);
}

// ---- The store.
void ResultReplay::on_seed(std::uint64_t seed, bool made_new) {
  keys_ = results::KeyDeriver(seed);
  if (made_new) log_.event(Level::kInfo, "results", "new store", {{"path", options_.store}});
}

void ResultReplay::on_recovered(const std::vector<results::Row>& rows) {
  const double now = net::monotonic_now();
  const std::int64_t now_ms = unix_ms();
  std::vector<results::Key> over;
  for (const results::Row& row : rows) {
    const results::Recovered read = recovery_.read(row, now_ms);
    if (!read.keep) {
      over.push_back(row.key);
      continue;
    }
    table_.recover(row.request, row.key, row.fingerprint, row.ended, now + read.left);
    counters_.add(Count::kResultsRecovered);
  }
  store_->erase(std::move(over));
}

void ResultReplay::on_store_state(results::StoreState state, const std::string& why) {
  const bool sound = state == results::StoreState::kSound;
  if (sound) {
    log_.event(Level::kInfo, "results", "store open",
               {{"path", options_.store},
                {"entries", table_.entries()},
                {"safety", options_.power_safe ? "power" : "process"}});
  } else {
    const char* then = state == results::StoreState::kRefused
                           ? "keyed ops are nacked until it is looked at and the program restarted"
                           : "keyed ops that are new are nacked until it is well";
    log_.event(Level::kError, "results", why + "; " + then, {{"state", name_of(state)}});
  }
}

void ResultReplay::on_drop_requests(const std::vector<results::Key>& keys) {
  std::vector<results::Key> dropped;
  for (const results::Key& key : keys) {
    if (table_.drop(key)) dropped.push_back(key);
  }
  log_.event(Level::kWarning, "results", "dropped as an operator asked",
             {{"asked", keys.size()}, {"dropped", dropped.size()}});
  store_->erase(std::move(dropped));
}

// ---- As requests come.
bool ResultReplay::identify(const Request& request, const peers::IncomingRequest& in,
                            const InFlightRequest& entered, Candidate& out) const {
  const Route& settings = entered.route_settings;
  const std::string& name = entered.route_name;
  out.id = request.id;
  if (settings.idempotency == Idempotency::kWithKey) {
    out.kind = Kind::kKeyed;
    out.fingerprint = keys_.fingerprint(in.body);
    out.key = by_digest_.contains(name)
                  ? keys_.digest(name, options_.digest_by_caller ? in.caller : 0, in.body)
                  : keys_.marked(name, in.idempotency_key);
    return true;
  }
  if (settings.idempotency == Idempotency::kIdempotent && site_.admission.shared_answer_ttl > 0 &&
      request.subject != 0 && !request.is_write) {
    out.kind = Kind::kShared;
    out.key = keys_.read(name, request.subject, in.body);
    return true;
  }
  return false;
}

bool ResultReplay::meet(Request& request, const peers::IncomingRequest& in, InFlightRequest& entered) {
  candidate_ = {};
  if (!on()) return false;
  const bool keyed = entered.route_settings.idempotency == Idempotency::kWithKey;
  const double now = net::monotonic_now();
  Candidate candidate;
  if (!identify(request, in, entered, candidate)) return false;
  if (std::vector<results::Key> over = table_.age(now, kAgedOnArrival); store_)
    store_->erase(std::move(over));
  const results::Lookup met = table_.meet(now, candidate.key, candidate.fingerprint, candidate.kind);
  switch (met.what) {
    case LookupOutcome::kNew:
      if (in.known_only) return not_known(entered, !store_ || store_->takes_intents(now), now), true;
      // Before the store is open, too: nothing is known then of what earlier lives ran, it may be this one.
      if (keyed && store_ && !store_->takes_intents(now)) {
        counters_.add(Count::kResultsNoStore);
        reject(entered, store_->retry_after(now));
        return true;
      }
      break;
    case LookupOutcome::kRepeat: request.duplicate_of = met.original; break;
    case LookupOutcome::kUnknown:
      counters_.add(Count::kResultsUnknown);
      in_flight_.fail(entered, peers::FailureReason::kOutcomeUnknown);
      return true;
    case LookupOutcome::kOtherBody:
      counters_.add(Count::kResultsConflicts);
      in_flight_.fail(entered, peers::FailureReason::kKeyConflict);
      return true;
    case LookupOutcome::kNoRoom:
      if (in.known_only) return not_known(entered, true, now), true;
      counters_.add(Count::kResultsNoRoom);
      reject(entered, met.retry_after);
      return true;
  }
  candidate_ = candidate;
  return false;
}

// It was only asked about. Guards against a store that is not open, and so knows nothing yet: that is no
// answer.
void ResultReplay::not_known(InFlightRequest& request, bool certain, double now) {
  if (!certain) return reject(request, store_->retry_after(now));
  counters_.add(Count::kResultsNotKnown);
  in_flight_.fail(request, peers::FailureReason::kKeyUnknown);
}

// Never ran: with a time to come back where the site's callers heed one.
void ResultReplay::reject(InFlightRequest& request, double retry_after) {
  const AdmissionOptions& s = site_.admission;
  in_flight_.reject(request, s.sends_retry_after ? std::min(retry_after, s.max_retry_after) : 0, false);
}

// ---- Acts of the module.
void ResultReplay::remember(RequestId id, double ttl) {
  if (!must_hold(candidate_.id == id, counters_)) return;
  const double now = net::monotonic_now();
  const bool kept =
      table_.reserve(now, id, candidate_.key, candidate_.fingerprint, candidate_.kind, now + ttl);
  if (kept) counters_.add(Count::kResultsKept);
  // There was room a moment ago for a keyed one; a read is worth remembering, no more.
  must_hold(kept || candidate_.kind == Kind::kShared, counters_);
}

void ResultReplay::forget(RequestId id) { answer_repeats(table_.release(id), How::kNeverRan); }

void ResultReplay::join(RequestId id) {
  if (!must_hold(candidate_.id == id, counters_)) return;
  const results::Key key = candidate_.key;
  counters_.add(Count::kResultsJoined);
  switch (table_.join(id, key)) {
    case JoinOutcome::kWaits: return;
    case JoinOutcome::kHere:
      counters_.add(Count::kResultsFromMemory);
      return answer_repeat(id, How::kSucceeded, *table_.result(key));
    case JoinOutcome::kStored: return answer_from_store(id, key);
    case JoinOutcome::kUnknown: return answer_repeat(id, How::kUnknown);
    case JoinOutcome::kNeverRan: return answer_repeat(id, How::kNeverRan);
  }
}

bool ResultReplay::hold_start(InFlightRequest& request) {
  if (!on()) return false;
  const RequestId id = request.id;
  const results::IdempotencyCache::Entry* entry = table_.entry_of(id);
  const bool keyed = request.route_settings.idempotency == Idempotency::kWithKey;
  if (entry == nullptr) {
    // Guards against a keyed run that nobody would remember.
    if (must_hold(!keyed, counters_)) return false;
    reactor_.post([this, id] { not_started(id, {}, 0); });
    return true;
  }
  if (!keyed || !store_) {
    table_.start(id);
    return false;
  }
  const results::Key key = entry->key;
  results::Row row;
  row.key = key;
  row.request = id;
  row.type = request.route_name;
  row.fingerprint = entry->fingerprint;
  row.until_ms = unix_ms() + static_cast<std::int64_t>((entry->until - net::monotonic_now()) * kMsPerSecond);
  request.run = RunStage::kRecordingKey;
  const bool taken =
      store_->intent(std::move(row), [this, id, key](bool durable) { on_intent(id, key, durable); });
  if (!taken) {
    reactor_.post([this, id, key] { on_intent(id, key, false); });
    return true;
  }
  counters_.add(Count::kResultsIntents);
  recording_[id] = reactor_.after(options_.patience, [this, id, key] { on_intent(id, key, false); });
  return true;
}

// Its intent is durable, or will not be in time. What comes after that is passed over.
void ResultReplay::on_intent(RequestId id, const results::Key& key, bool durable) {
  const auto timer = recording_.find(id);
  if (timer != recording_.end()) {
    reactor_.cancel(timer->second);
    recording_.erase(timer);
  }
  InFlightRequest* request = in_flight_.find(id);
  const results::IdempotencyCache::Entry* entry = table_.entry_of(id);
  if (request == nullptr || request->run != RunStage::kRecordingKey || entry == nullptr || entry->key != key)
    return;
  if (!durable) counters_.add(Count::kResultsNotDurable);
  if (!durable || request->answered) return not_started(id, key, store_->retry_after(net::monotonic_now()));
  table_.start(id);
  sender_.start(*request);
}

// Nothing reached the runtime: the request is rejected, and so is who waits for it.
void ResultReplay::not_started(RequestId id, const results::Key& key, double retry_after) {
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr) return;
  request->run = RunStage::kNone;
  reject(*request, retry_after);
  answer_repeats(table_.release(id), How::kNeverRan);
  if (store_) store_->erase({key});
  admission_.on_run_finished(id, Outcome::kObsolete, 0);
  if ((request = in_flight_.find(id)) != nullptr) in_flight_.release_if_over(*request);
}

// ---- Ends of runs.
bool ResultReplay::on_run_ended(InFlightRequest& request, Outcome outcome, std::string_view result) {
  if (!on()) return false;
  const RequestId id = request.id;
  const results::IdempotencyCache::Entry* entry = table_.entry_of(id);
  if (entry == nullptr || entry->state != State::kRunning) return false;
  const double now = net::monotonic_now();
  const results::Key key = entry->key;
  switch (outcome) {
    case Outcome::kOk: {
      if (entry->kind == Kind::kShared || !store_) {
        answer_repeats(table_.end(now, id, std::string(result)), How::kSucceeded, result);
        return false;
      }
      PendingWrite& pending = pending_[id];
      pending.key = key;
      pending.result = result;
      const double left = std::max(0.0, request.deadline - net::unix_now());
      pending.due =
          reactor_.after(left, [this, id] {  // the answer is owed now; the result follows when it can
            InFlightRequest* late = in_flight_.find(id);
            if (late == nullptr) return;
            in_flight_.fail(*late);
            in_flight_.release_if_over(*late);
          });
      store_->result(key, pending.result, [this, id](bool durable) { on_result_written(id, durable); });
      return true;
    }
    case Outcome::kObsolete: {  // nothing was started
      answer_repeats(table_.release(id), How::kNeverRan);
      if (store_) store_->erase({key});
      return false;
    }
    case Outcome::kCancelled:
      if (!request.answered && site_.admission.preemption == Preemption::kPause)
        return false;  // it goes on later
      [[fallthrough]];
    default: answer_repeats(table_.lose(now, id), How::kUnknown); return false;
  }
}

// A result that could not be written is still the result: its callers get it, and a repeat after a restart is
// told that the outcome is unknown.
void ResultReplay::on_result_written(RequestId id, bool durable) {
  auto found = pending_.extract(id);
  if (found.empty()) return;
  PendingWrite& pending = found.mapped();
  reactor_.cancel(pending.due);
  if (!durable) counters_.add(Count::kResultsNotDurable);
  const std::vector<RequestId> repeats = table_.end(net::monotonic_now(), id, pending.result);
  if (InFlightRequest* request = in_flight_.find(id)) {
    in_flight_.succeed(*request, pending.result);
    in_flight_.release_if_over(*request);
  }
  answer_repeats(repeats, How::kSucceeded, pending.result);
}

void ResultReplay::on_closed(const InFlightRequest& request) {
  if (!on()) return;
  table_.leave(request.id);
  const results::IdempotencyCache::Entry* entry = table_.entry_of(request.id);
  if (entry == nullptr || pending_.contains(request.id)) return;
  if (entry->state == State::kReserved) {
    answer_repeats(table_.release(request.id), How::kNeverRan);
  } else {  // a paused run that is dropped
    answer_repeats(table_.lose(net::monotonic_now(), request.id), How::kUnknown);
  }
}

// ---- Repeats.
void ResultReplay::answer_from_store(RequestId id, const results::Key& key) {
  counters_.add(Count::kResultsFromStore);
  const bool asked = store_ && store_->fetch(key, [this, id](const std::optional<results::Row>& row) {
    answer_repeat(id, row && row->ended ? How::kSucceeded : How::kUnknown, row ? row->result : std::string());
  });
  if (!asked) answer_repeat(id, How::kUnknown);
}

void ResultReplay::answer_repeats(const std::vector<RequestId>& repeats, How how, std::string_view result) {
  for (const RequestId id : repeats) answer_repeat(id, how, result);
}

// Its answer leaves at once; the module hears of it on the next turn, since this may be inside one of its
// acts.
void ResultReplay::answer_repeat(RequestId id, How how, std::string_view result) {
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr) return;
  switch (how) {
    case How::kSucceeded: in_flight_.succeed(*request, result); break;
    case How::kUnknown: in_flight_.fail(*request, peers::FailureReason::kOutcomeUnknown); break;
    case How::kNeverRan: reject(*request, 0); break;
  }
  reactor_.post([this, id, how] {
    InFlightRequest* there = in_flight_.find(id);
    if (there == nullptr) return;
    admission_.on_run_finished(id, how == How::kSucceeded ? Outcome::kOk : Outcome::kObsolete, 0);
    if ((there = in_flight_.find(id)) != nullptr) in_flight_.release_if_over(*there);
  });
}

// ---- Time passing.
void ResultReplay::look() {
  if (!store_ || store_->roomy()) {
    std::vector<results::Key> over = table_.age(net::monotonic_now(), kAgedAtOnce);
    if (store_) store_->erase(std::move(over));
  }
  look_timer_ = reactor_.after(kLook, [this] { look(); });
}

void ResultReplay::reconfigure(const ResultsOptions& options) {
  if (!on() && !options.enabled) return;
  const bool same = options.enabled == options_.enabled && options.store == options_.store &&
                    options.power_safe == options_.power_safe && options.disk == options_.disk &&
                    options.queue == options_.queue && options.key_field == options_.key_field &&
                    options.key_length == options_.key_length && options.digest == options_.digest &&
                    options.digest_by_caller == options_.digest_by_caller;
  if (!same) log_.warn("results", "only memory, entries and patience are taken without a restart");
  // Guards against a file of another deployment, whose settings ask for no keys: ours stay remembered.
  if (!on() || !options.enabled) return;
  options_.memory = options.memory;
  options_.entries = options.entries;
  options_.patience = options.patience;
  table_.set_bounds(bounds_of(options_, site_));
  log_.event(Level::kInfo, "results", "new bounds",
             {{"memory", options_.memory}, {"entries", options_.entries}, {"in_use", table_.bytes()}});
}

void ResultReplay::report() {
  if (!on()) return;
  counters_.set(Count::kResultsEntries, table_.entries());
  counters_.set(Count::kResultsBytes, table_.bytes());
  counters_.set(Count::kResultsEvicted, table_.evicted());
  if (store_)
    counters_.set(Count::kResultsCommitMostUs, static_cast<std::uint64_t>(store_->slowest_commit() * 1e6));
}

}  // namespace damsonspoke::stages

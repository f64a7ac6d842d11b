#include "stages/result_replay.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "observability/invariants.h"
#include "stages/admission_driver.h"

namespace damsonspoke::stages {
namespace {

using results::EntryKind;
using results::EntryState;
using results::JoinOutcome;
using results::LookupOutcome;

constexpr double kExpiryIntervalSeconds = 0.05;
constexpr std::size_t kMaxExpiredPerInterval = 500;  // bounds the duration of an event-loop iteration
constexpr std::size_t kMaxExpiredPerArrival = 4;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMicrosecondsPerSecond = 1e6;

// Duplicates are recognized for so long after they arrived: one that is read later than its caller waits for
// the answer is of no use to it.
double allowed_lateness(const StartSettings& site) {
  double longest_timeout = 0;
  for (const Route& route : site.admission.routes) longest_timeout = std::max(longest_timeout, route.timeout);
  return longest_timeout;
}

results::CacheLimits limits_of(const ResultsOptions& options, const StartSettings& site) {
  return {options.memory, options.entries, !options.store.empty(), site.admission.shared_answer_ttl,
          allowed_lateness(site)};
}

std::int64_t unix_now_ms() { return static_cast<std::int64_t>(net::unix_now() * kMillisecondsPerSecond); }

// The idempotency window of each route that has one, in seconds.
std::unordered_map<std::string, double> windows_of(const catalog::Catalog& catalog) {
  std::unordered_map<std::string, double> windows;
  const catalog::NameIndex& names = catalog.route_names();
  names.visit(0, names.cells(), [&](std::string_view name, int position) {
    const double window = catalog.route(position).idempotency_window;
    if (window > 0) windows[std::string(name)] = window;
  });
  return windows;
}

// Whether a setting has changed that reconfigure() does not apply.
bool needs_restart(const ResultsOptions& before, const ResultsOptions& after) {
  return before.enabled != after.enabled || before.store != after.store ||
         before.power_safe != after.power_safe || before.disk != after.disk || before.queue != after.queue ||
         before.key_field != after.key_field || before.key_length != after.key_length ||
         before.digest != after.digest || before.digest_by_caller != after.digest_by_caller;
}

}  // namespace

ResultReplay::ResultReplay(net::Reactor& reactor, const Stages& stages, const StartSettings& site,
                           const catalog::Catalog& catalog, const ResultsOptions& options, Counters& counters,
                           Logger& log)
    : reactor_(reactor),
      in_flight_(stages.in_flight),
      sender_(stages.sender),
      admission_(stages.admission),
      site_(site),
      options_(options),
      counters_(counters),
      log_(log),
      identifier_(options, site),
      replies_(reactor, stages.in_flight, stages.admission, site),
      pending_writes_(reactor),
      cache_(limits_of(options, site)),
      recovery_(windows_of(catalog), allowed_lateness(site)) {
  if (!is_enabled()) return;
  if (!options_.store.empty()) open_store();
  in_flight_.set_release_listener([this](const InFlightRequest& request) { on_request_released(request); });
  expire_periodically();
}

ResultReplay::~ResultReplay() {
  reactor_.cancel(expiry_timer_);
  reactor_.cancel(drain_timer_);
}

// ---- The store.

void ResultReplay::open_store() {
  const double now = net::monotonic_now();
  cache_.raise_watermark(now - allowed_lateness(site_));
  cache_.begin_recovery(now + recovery_.longest_window());
  results::Store::Options options;
  options.path = options_.store;
  options.sync_commits = options_.power_safe;
  options.max_file_bytes = options_.disk;
  options.max_queued_jobs = options_.queue;
  results::StoreEvents& events = *this;
  store_ = std::make_unique<results::Store>(reactor_, options, events);
}

void ResultReplay::erase_from_store(std::vector<results::Key> keys) {
  if (store_) store_->erase(std::move(keys));
}

void ResultReplay::on_key_seed(std::uint64_t seed, bool is_new) {
  identifier_.set_seed(seed);
  if (is_new) log_.event(Level::kInfo, "results", "store created", {{"path", options_.store}});
}

void ResultReplay::on_entries_recovered(const std::vector<results::Row>& rows) {
  const double now = net::monotonic_now();
  const std::int64_t now_ms = unix_now_ms();
  std::vector<results::Key> expired;
  for (const results::Row& row : rows) {
    const std::optional<double> remaining = recovery_.remaining_seconds(row, now_ms);
    if (!remaining) {
      expired.push_back(row.key);
      continue;
    }
    cache_.restore(row.request_id, row.key, row.fingerprint, row.has_result, now + *remaining);
    counters_.add(Count::kResultsRecovered);
  }
  erase_from_store(std::move(expired));
}

void ResultReplay::on_store_state_changed(results::StoreState state, const std::string& error) {
  if (state == results::StoreState::kHealthy) {
    cache_.finish_recovery();
    log_.event(Level::kInfo, "results", "store opened",
               {{"path", options_.store},
                {"entries", cache_.entry_count()},
                {"safety", options_.power_safe ? "power" : "process"}});
    return;
  }
  const char* consequence =
      state == results::StoreState::kDisabled
          ? "requests with a key are rejected until the store is repaired and the program restarted"
          : "new requests with a key are rejected until the store recovers";
  log_.event(Level::kError, "results", error + "; " + consequence, {{"state", name_of(state)}});
}

void ResultReplay::on_drop_requests(const std::vector<results::Key>& keys) {
  const double now = net::monotonic_now();
  std::vector<results::Key> dropped;
  for (const results::Key& key : keys) {
    if (cache_.drop(now, key)) dropped.push_back(key);
  }
  log_.event(Level::kWarning, "results", "dropped keys at an operator's request",
             {{"requested", keys.size()}, {"dropped", dropped.size()}});
  erase_from_store(std::move(dropped));
}

// ---- Arriving requests.

bool ResultReplay::answer_if_known(Request& request, const peers::IncomingRequest& incoming,
                                   InFlightRequest& in_flight_request) {
  candidate_.reset();
  if (!is_enabled()) return false;
  const std::optional<RequestIdentity> identity = identifier_.identify(request, incoming, in_flight_request);
  if (!identity) return false;
  const double now = net::monotonic_now();
  const double arrived_at = now - request.age - incoming.arrived_earlier;
  erase_from_store(cache_.expire(now, kMaxExpiredPerArrival));
  const results::Lookup lookup =
      cache_.look_up(now, arrived_at, identity->key, identity->fingerprint, identity->kind);
  switch (lookup.outcome) {
    case LookupOutcome::kMiss:
      if (answer_unknown_key(*identity, incoming.is_lookup_only, in_flight_request, now)) return true;
      break;
    case LookupOutcome::kDuplicate: request.duplicate_of = lookup.original_id; break;
    case LookupOutcome::kPossiblyForgotten:
      counters_.add(Count::kResultsPossiblyForgotten);
      in_flight_.fail(in_flight_request, peers::FailureReason::kOutcomeUnknown);
      return true;
    case LookupOutcome::kNotRecovered:
      counters_.add(Count::kResultsNotRecovered);
      in_flight_.fail(in_flight_request);
      return true;
    case LookupOutcome::kOutcomeUnknown:
      counters_.add(Count::kResultsUnknown);
      in_flight_.fail(in_flight_request, peers::FailureReason::kOutcomeUnknown);
      return true;
    case LookupOutcome::kFingerprintMismatch:
      counters_.add(Count::kResultsConflicts);
      in_flight_.fail(in_flight_request, peers::FailureReason::kKeyConflict);
      return true;
    case LookupOutcome::kNoCapacity:
      if (incoming.is_lookup_only) {
        fail_query(in_flight_request);
        return true;
      }
      counters_.add(Count::kResultsNoCapacity);
      replies_.reject(in_flight_request, lookup.retry_after);
      return true;
  }
  candidate_ = Candidate{request.id, *identity, arrived_at};
  return false;
}

bool ResultReplay::may_have_run(const Request& request, const peers::IncomingRequest& incoming,
                                const InFlightRequest& in_flight_request) const {
  if (!is_enabled()) return false;
  const std::optional<RequestIdentity> identity = identifier_.identify(request, incoming, in_flight_request);
  if (!identity || identity->kind != EntryKind::kKeyed) return false;
  const double arrived_at = net::monotonic_now() - request.age - incoming.arrived_earlier;
  return cache_.may_have_run(arrived_at, identity->key);
}

// A keyed request cannot run while the store accepts no intents. It is rejected: the cache has found that no
// earlier process can have run it.
bool ResultReplay::answer_unknown_key(const RequestIdentity& identity, bool is_query,
                                      InFlightRequest& request, double now) {
  const bool is_store_ready = !store_ || store_->accepts_intents(now);
  if (is_query) {
    if (is_store_ready) {
      fail_query(request);
    } else {
      replies_.reject(request, store_->retry_after(now));
    }
    return true;
  }
  if (identity.kind != EntryKind::kKeyed || is_store_ready) return false;
  counters_.add(Count::kResultsStoreUnavailable);
  replies_.reject(request, store_->retry_after(now));
  return true;
}

// Answers a lookup whose key is not known.
void ResultReplay::fail_query(InFlightRequest& request) {
  counters_.add(Count::kResultsNotKnown);
  in_flight_.fail(request, peers::FailureReason::kKeyUnknown);
}

// ---- Decisions of the admission controller.

void ResultReplay::remember_key(RequestId id, double ttl) {
  if (!check_invariant(candidate_ && candidate_->id == id, counters_)) return;
  const RequestIdentity& identity = candidate_->identity;
  const double now = net::monotonic_now();
  const bool is_remembered = cache_.reserve(
      now, {id, identity.key, identity.fingerprint, identity.kind, candidate_->arrived_at, now + ttl});
  if (is_remembered) counters_.add(Count::kResultsRemembered);
  // look_up() has found capacity for a keyed request just before; a shared read need not be remembered.
  check_invariant(is_remembered || identity.kind == EntryKind::kSharedRead, counters_);
}

void ResultReplay::forget_key(RequestId id) { release_key(id); }

// The request never ran, and neither did its duplicates, which are rejected. But where its key has run in an
// earlier window, a duplicate may have arrived in that one and be read late.
void ResultReplay::release_key(RequestId id) {
  const results::IdempotencyCache::Entry* entry = cache_.find_active(id);
  if (entry == nullptr) return;
  const results::Key key = entry->key;
  const std::vector<RequestId> duplicates = cache_.release(id);
  const bool has_earlier_run = cache_.find(key) != nullptr;  // release() has restored its entry
  replies_.answer_all(duplicates, has_earlier_run ? OriginalOutcome::kUnknown : OriginalOutcome::kNeverRan);
}

void ResultReplay::join_original(RequestId id) {
  if (!check_invariant(candidate_ && candidate_->id == id, counters_)) return;
  const results::Key key = candidate_->identity.key;
  counters_.add(Count::kResultsCoalesced);
  InFlightRequest* request = in_flight_.find(id);
  if (request != nullptr) request->awaits_keyed_original = candidate_->identity.kind == EntryKind::kKeyed;
  switch (cache_.join(id, key)) {
    case JoinOutcome::kCoalesced: return;
    case JoinOutcome::kInMemory:
      counters_.add(Count::kResultsFromMemory);
      return replies_.answer(id, OriginalOutcome::kSucceeded, *cache_.result_in_memory(key));
    case JoinOutcome::kInStore: return answer_from_store(id, key);
    case JoinOutcome::kOutcomeUnknown: return replies_.answer(id, OriginalOutcome::kUnknown);
  }
}

void ResultReplay::answer_from_store(RequestId id, const results::Key& key) {
  counters_.add(Count::kResultsFromStore);
  const auto on_fetched = [this, id](const std::optional<results::Row>& row) {
    if (row && row->has_result) {
      replies_.answer(id, OriginalOutcome::kSucceeded, row->result);
    } else {
      replies_.answer(id, OriginalOutcome::kUnknown);
    }
  };
  if (!store_ || !store_->fetch(key, on_fetched)) replies_.answer(id, OriginalOutcome::kUnknown);
}

// ---- Intents.

bool ResultReplay::defer_start(InFlightRequest& request) {
  if (!is_enabled()) return false;
  const RequestId id = request.id;
  const results::IdempotencyCache::Entry* entry = cache_.find_active(id);
  const bool is_keyed = request.route_settings.idempotency == Idempotency::kWithKey;
  if (entry == nullptr) {
    // A keyed request that is not remembered must not run, since its duplicates would run too.
    if (check_invariant(!is_keyed, counters_)) return false;
    reactor_.post([this, id] { reject_unstarted(id, {}, 0); });
    return true;
  }
  if (!is_keyed || !store_) {
    cache_.mark_running(id);
    return false;
  }
  write_intent(request, *entry);
  return true;
}

void ResultReplay::write_intent(InFlightRequest& request, const results::IdempotencyCache::Entry& entry) {
  const RequestId id = request.id;
  const results::Key key = entry.key;
  const double remaining = entry.expires_at - net::monotonic_now();
  results::Row row;
  row.key = key;
  row.request_id = id;
  row.route = request.route_name;
  row.fingerprint = entry.fingerprint;
  row.expires_at_ms = unix_now_ms() + static_cast<std::int64_t>(remaining * kMillisecondsPerSecond);
  request.run = RunStage::kRecordingKey;
  const bool is_accepted = store_->write_intent(
      std::move(row), [this, id, key](bool is_durable) { on_intent_written(id, key, is_durable); });
  if (!is_accepted) {
    reactor_.post([this, id, key] { on_intent_written(id, key, false); });
    return;
  }
  counters_.add(Count::kResultsIntents);
  pending_writes_.add_intent(id, options_.store_timeout,
                             [this, id, key] { on_intent_written(id, key, false); });
}

// The intent is durable, or its write failed or timed out. Only the first call for a request has an effect.
void ResultReplay::on_intent_written(RequestId id, const results::Key& key, bool is_durable) {
  pending_writes_.remove_intent(id);
  InFlightRequest* request = in_flight_.find(id);
  const results::IdempotencyCache::Entry* entry = cache_.find_active(id);
  const bool is_awaited =
      request != nullptr && request->run == RunStage::kRecordingKey && entry != nullptr && entry->key == key;
  if (!is_awaited) return;
  if (!is_durable) counters_.add(Count::kResultsNotDurable);
  if (!is_durable || request->answered)
    return reject_unstarted(id, {key}, store_->retry_after(net::monotonic_now()));
  cache_.mark_running(id);
  sender_.start(*request);
}

// Rejects a request that was never sent to the runtime, together with its duplicates.
void ResultReplay::reject_unstarted(RequestId id, std::vector<results::Key> keys, double retry_after) {
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr) return;
  request->run = RunStage::kNone;
  replies_.reject(*request, retry_after);
  release_key(id);
  erase_from_store(std::move(keys));
  admission_.on_run_finished(id, Outcome::kObsolete, 0);
  request = in_flight_.find(id);
  if (request != nullptr) in_flight_.release_if_over(*request);
}

// ---- Ends of runs.

bool ResultReplay::on_run_ended(InFlightRequest& request, Outcome outcome, std::string_view result) {
  if (!is_enabled()) return false;
  const RequestId id = request.id;
  const results::IdempotencyCache::Entry* entry = cache_.find_active(id);
  if (entry == nullptr || entry->state != EntryState::kRunning) return false;
  const double now = net::monotonic_now();
  const results::Key key = entry->key;
  const bool is_paused =
      outcome == Outcome::kCancelled && !request.answered && site_.admission.preemption == Preemption::kPause;
  if (is_paused) return false;
  switch (outcome) {
    case Outcome::kOk:
      if (entry->kind == EntryKind::kKeyed && store_) {
        write_result(request, key, result);
        return true;
      }
      replies_.answer_all(cache_.complete(now, id, std::string(result)), OriginalOutcome::kSucceeded, result);
      return false;
    case Outcome::kObsolete:  // the run never started
      release_key(id);
      erase_from_store({key});
      return false;
    default:
      replies_.answer_all(cache_.mark_outcome_unknown(now, id), OriginalOutcome::kUnknown);
      return false;
  }
}

void ResultReplay::on_run_given_up(const InFlightRequest& request) {
  if (!is_enabled()) return;
  const std::vector<RequestId> duplicates = cache_.give_up(net::monotonic_now(), request.id);
  replies_.answer_all(duplicates, OriginalOutcome::kUnknown);
}

void ResultReplay::on_late_run_end(RequestId id, Outcome outcome, std::string_view result) {
  const results::Key* key = cache_.find_given_up(id);
  if (key == nullptr || outcome != Outcome::kOk) return;
  if (!store_) return cache_.complete_given_up(id, std::string(result));
  store_->write_result(*key, std::string(result),
                       [this, id, late_result = std::string(result)](bool is_durable) {
                         if (!is_durable) counters_.add(Count::kResultsNotDurable);
                         cache_.complete_given_up(id, late_result);
                       });
}

void ResultReplay::write_result(const InFlightRequest& request, const results::Key& key,
                                std::string_view result) {
  const RequestId id = request.id;
  const double remaining = std::max(0.0, request.deadline - net::unix_now());
  pending_writes_.add_result(id, std::string(result), remaining, [this, id] { on_request_deadline(id); });
  store_->write_result(key, std::string(result),
                       [this, id](bool is_durable) { on_result_written(id, is_durable); });
}

// The deadline of the request has passed before its result was durable. The request fails; its duplicates
// still get the result.
void ResultReplay::on_request_deadline(RequestId id) {
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr) return;
  in_flight_.fail(*request);
  in_flight_.release_if_over(*request);
}

// A result that could not be written is still sent to the caller. After a restart, duplicates of the request
// fail with "outcome unknown".
void ResultReplay::on_result_written(RequestId id, bool is_durable) {
  const std::optional<std::string> result = pending_writes_.take_result(id);
  if (!result) return;
  if (!is_durable) counters_.add(Count::kResultsNotDurable);
  const std::vector<RequestId> duplicates = cache_.complete(net::monotonic_now(), id, *result);
  if (InFlightRequest* request = in_flight_.find(id)) {
    in_flight_.succeed(*request, *result);
    in_flight_.release_if_over(*request);
  }
  replies_.answer_all(duplicates, OriginalOutcome::kSucceeded, *result);
}

void ResultReplay::on_drain(double answer_within) {
  if (!is_enabled()) return;
  drain_timer_ = reactor_.after(std::max(0.0, answer_within), [this] { answer_pending_results(); });
}

void ResultReplay::answer_pending_results() {
  for (const RequestId id : pending_writes_.pending_results()) on_result_written(id, false);
}

void ResultReplay::on_request_released(const InFlightRequest& request) {
  if (!is_enabled()) return;
  cache_.remove_waiter(request.id);
  const results::IdempotencyCache::Entry* entry = cache_.find_active(request.id);
  if (entry == nullptr || pending_writes_.has_result(request.id)) return;
  if (entry->state == EntryState::kReserved) {
    release_key(request.id);
  } else {  // the paused run was discarded
    replies_.answer_all(cache_.mark_outcome_unknown(net::monotonic_now(), request.id),
                        OriginalOutcome::kUnknown);
  }
}

// ---- Expiry, configuration, counters.

void ResultReplay::expire_periodically() {
  if (!store_ || store_->has_spare_capacity())
    erase_from_store(cache_.expire(net::monotonic_now(), kMaxExpiredPerInterval));
  expiry_timer_ = reactor_.after(kExpiryIntervalSeconds, [this] { expire_periodically(); });
}

void ResultReplay::reconfigure(const ResultsOptions& options) {
  if (!is_enabled() && !options.enabled) return;
  if (needs_restart(options_, options))
    log_.warn("results", "only 'memory', 'entries' and 'patience' take effect without a restart");
  // Disabling results in the configuration must not forget keys whose windows have not ended.
  if (!is_enabled() || !options.enabled) return;
  options_.memory = options.memory;
  options_.entries = options.entries;
  options_.store_timeout = options.store_timeout;
  cache_.set_limits(limits_of(options_, site_));
  log_.event(Level::kInfo, "results", "changed cache limits",
             {{"memory", options_.memory}, {"entries", options_.entries}, {"in_use", cache_.used_bytes()}});
}

void ResultReplay::update_counters() {
  if (!is_enabled()) return;
  counters_.set(Count::kResultsEntries, cache_.entry_count());
  counters_.set(Count::kResultsBytes, cache_.used_bytes());
  counters_.set(Count::kResultsEvicted, cache_.evicted_count());
  if (!store_) return;
  const double microseconds = store_->max_commit_seconds() * kMicrosecondsPerSecond;
  counters_.set(Count::kResultsMaxCommitUs, static_cast<std::uint64_t>(microseconds));
}

}  // namespace damsonspoke::stages

// Replays results to duplicate requests: looks up each request in the idempotency cache, and connects the
// cache with admission, the results store and the requests in flight. Does nothing if results are disabled.
//
// With a store, a keyed request starts only after its intent record is durable, and is answered only after
// its result is durable. After a restart, a duplicate is therefore answered with the stored result or with
// "outcome unknown"; it never runs a second time.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/catalog.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "results/idempotency_cache.h"
#include "results/recovery.h"
#include "results/store.h"
#include "settings/operator_file.h"
#include "settings/settings.h"
#include "stages/command_sender.h"
#include "stages/duplicate_replies.h"
#include "stages/in_flight_requests.h"
#include "stages/pending_writes.h"
#include "stages/request_identity.h"

namespace damsonspoke::stages {

class AdmissionDriver;

class ResultReplay : private results::StoreEvents {
 public:
  // The stages that the cache is connected with.
  struct Stages {
    InFlightRequests& in_flight;
    CommandSender& sender;
    AdmissionDriver& admission;
  };

  ResultReplay(net::Reactor& reactor, const Stages& stages, const StartSettings& site,
               const catalog::Catalog& catalog, const ResultsOptions& options, Counters& counters,
               Logger& log);
  ~ResultReplay() override;
  ResultReplay(const ResultReplay&) = delete;
  ResultReplay& operator=(const ResultReplay&) = delete;

  [[nodiscard]] bool is_enabled() const { return options_.enabled; }

  // To be called for each request that was read. Returns true if the request was answered and must not be
  // passed to admission. Otherwise `request.duplicate_of` is the original request, if there is one.
  [[nodiscard]] bool answer_if_known(Request& request, const peers::IncomingRequest& incoming,
                                     InFlightRequest& in_flight_request);

  // Whether another request with the same idempotency key has run, or may still run.
  [[nodiscard]] bool may_have_run(const Request& request, const peers::IncomingRequest& incoming,
                                  const InFlightRequest& in_flight_request) const;

  // ---- Decisions of the admission controller.

  // Remembers the request last passed to answer_if_known(), for `ttl` seconds.
  void remember_key(RequestId id, double ttl);
  void forget_key(RequestId id);
  // The request last passed to answer_if_known() gets the answer of its original request.
  void join_original(RequestId id);
  // Returns true if this object starts the run once its intent is durable (or rejects the request). Otherwise
  // the caller starts the run now.
  [[nodiscard]] bool defer_start(InFlightRequest& request);

  // A run has ended. Returns true if this object answers the request once its result is durable.
  [[nodiscard]] bool on_run_ended(InFlightRequest& request, Outcome outcome, std::string_view result);

  // The start of the run may have been lost, and its end is no longer awaited.
  void on_run_given_up(const InFlightRequest& request);
  // A run that was given up has ended after all: duplicates get its result.
  void on_late_run_end(RequestId id, Outcome outcome, std::string_view result);
  // Graceful shutdown has begun: answer_pending_results() is called in `answer_within` seconds.
  void on_drain(double answer_within);
  // Answers the requests whose results are not durable yet, without further waiting.
  void answer_pending_results();

  // Applies the limits and timeouts of a changed configuration. Other changes take effect at the next start.
  void reconfigure(const ResultsOptions& options);
  void update_counters();

 private:
  struct Candidate {
    RequestId id = 0;
    RequestIdentity identity;
    double arrived_at = 0;  // monotonic s
  };

  // ---- StoreEvents.
  void on_key_seed(std::uint64_t seed, bool is_new) override;
  void on_entries_recovered(const std::vector<results::Row>& rows) override;
  void on_store_state_changed(results::StoreState state, const std::string& error) override;
  void on_drop_requests(const std::vector<results::Key>& keys) override;

  void open_store();
  void erase_from_store(std::vector<results::Key> keys);
  bool answer_unknown_key(const RequestIdentity& identity, bool is_query, InFlightRequest& request,
                          double now);
  void fail_query(InFlightRequest& request);
  void release_key(RequestId id);
  void write_intent(InFlightRequest& request, const results::IdempotencyCache::Entry& entry);
  void on_intent_written(RequestId id, const results::Key& key, bool is_durable);
  void reject_unstarted(RequestId id, std::vector<results::Key> keys, double retry_after);
  void write_result(const InFlightRequest& request, const results::Key& key, std::string_view result);
  void on_request_deadline(RequestId id);
  void on_result_written(RequestId id, bool is_durable);
  void on_request_released(const InFlightRequest& request);
  void answer_from_store(RequestId id, const results::Key& key);
  void expire_periodically();

  net::Reactor& reactor_;
  InFlightRequests& in_flight_;
  CommandSender& sender_;
  AdmissionDriver& admission_;
  const StartSettings& site_;
  ResultsOptions options_;
  Counters& counters_;
  Logger& log_;
  RequestIdentifier identifier_;
  DuplicateReplies replies_;
  PendingWrites pending_writes_;
  results::IdempotencyCache cache_;
  const results::Recovery recovery_;
  std::optional<Candidate> candidate_;  // between answer_if_known() and the controller's decision
  net::Reactor::TimerId expiry_timer_;
  net::Reactor::TimerId drain_timer_;
  std::unique_ptr<results::Store> store_;  // last member: its thread must end before the others are destroyed
};

}  // namespace damsonspoke::stages

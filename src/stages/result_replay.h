// Remembered results on the way of a request: asks the table, obeys it, and brings together the module, the
// store and the book. With results off it does nothing.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
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
#include "stages/in_flight_requests.h"

namespace damsonspoke::stages {

class AdmissionDriver;

class ResultReplay : private results::StoreEvents {
 public:
  ResultReplay(net::Reactor& reactor, InFlightRequests& in_flight, CommandSender& send,
               AdmissionDriver& admission, const StartSettings& site, const catalog::Catalog& catalog,
               const ResultsOptions& options, Counters& counters, Logger& log);
  ~ResultReplay() override;

  bool on() const { return options_.enabled; }

  // ---- As requests come. True where the request has been answered and must not come to the module;
  // otherwise `request.original` says whether it is a repeat.
  bool meet(Request& request, const peers::IncomingRequest& in, InFlightRequest& entered);

  // ---- Acts of the module.
  void remember(RequestId id, double ttl);
  void forget(RequestId id);
  void join(RequestId id);
  // True where the run starts by itself once it may; otherwise the caller starts it now.
  bool hold_start(InFlightRequest& request);

  // ---- Ends of runs. True where the request's own answer follows by itself.
  bool on_run_ended(InFlightRequest& request, Outcome outcome, std::string_view result);
  // The book lets go of it.
  void on_closed(const InFlightRequest& request);

  // New bounds; what else has changed is taken at the next start.
  void reconfigure(const ResultsOptions& options);
  void report();  // into the counters

 private:
  struct Candidate {
    RequestId id = 0;
    results::Key key;
    results::Fingerprint fingerprint = 0;
    results::EntryKind kind = results::EntryKind::kKeyed;
  };
  // A result that is not durable yet; its run is over.
  struct PendingWrite {
    results::Key key;
    std::string result;
    net::Reactor::TimerId due;
  };

  void on_key_seed(std::uint64_t seed, bool is_new) override;
  void on_entries_recovered(const std::vector<results::Row>& rows) override;
  void on_store_state_changed(results::StoreState state, const std::string& why) override;
  void on_drop_requests(const std::vector<results::Key>& keys) override;

  bool identify(const Request& request, const peers::IncomingRequest& in, const InFlightRequest& entered,
                Candidate& out) const;
  void reject(InFlightRequest& request, double retry_after);
  void not_known(InFlightRequest& request, bool certain, double now);
  void on_intent(RequestId id, const results::Key& key, bool durable);
  void not_started(RequestId id, const results::Key& key, double retry_after);
  void on_result_written(RequestId id, bool durable);
  void answer_from_store(RequestId id, const results::Key& key);
  enum class How { kSucceeded, kUnknown, kNeverRan };
  void answer_repeat(RequestId id, How how, std::string_view result = {});
  void answer_repeats(const std::vector<RequestId>& repeats, How how, std::string_view result = {});
  void look();

  net::Reactor& reactor_;
  InFlightRequests& in_flight_;
  CommandSender& sender_;
  AdmissionDriver& admission_;
  const StartSettings& site_;
  ResultsOptions options_;
  Counters& counters_;
  Logger& log_;
  results::KeyDeriver keys_;
  results::IdempotencyCache cache_;
  results::Recovery recovery_;
  const std::unordered_set<std::string> by_digest_;  // routes
  Candidate candidate_;                              // between meeting a request and the module's act on it
  std::unordered_map<RequestId, net::Reactor::TimerId> recording_;  // whose intent is on its way
  std::unordered_map<RequestId, PendingWrite> pending_;
  net::Reactor::TimerId look_timer_;
  std::unique_ptr<results::Store> store_;  // last: its thread ends first
};

}  // namespace damsonspoke::stages

// Remembered results on the way of an op: asks the table, obeys it, and brings together the module, the store
// and the book. With results off it does nothing.
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
#include "peers/ports.h"
#include "results/recovery.h"
#include "results/store.h"
#include "results/table.h"
#include "settings/operator_file.h"
#include "settings/settings.h"
#include "stages/book.h"
#include "stages/send.h"
#include "watch/counters.h"
#include "watch/logger.h"

namespace damsonspoke::stages {

class Admit;

class Recall : private results::StoreEvents {
 public:
  Recall(net::Reactor& reactor, Book& book, Send& send, Admit& admit, const StartSettings& site,
         const catalog::Catalog& catalog, const ResultsOptions& options, Counters& counters, Logger& log);
  ~Recall() override;

  bool on() const { return options_.enabled; }

  // ---- As ops come. True where the op has been answered and must not come to the module; otherwise
  // `op.original` says whether it is a repeat.
  bool meet(Op& op, const peers::IncomingOp& in, OpenOp& entered);

  // ---- Acts of the module.
  void remember(OpId id, double ttl);
  void forget(OpId id);
  void join(OpId id);
  // True where the run starts by itself once it may; otherwise the caller starts it now.
  bool hold_start(OpenOp& op);

  // ---- Ends of runs. True where the op's own answer follows by itself.
  bool on_run_ended(OpenOp& op, Outcome outcome, std::string_view result);
  // The book lets go of it.
  void on_closed(const OpenOp& op);

  // New bounds; what else has changed is taken at the next start.
  void reconfigure(const ResultsOptions& options);
  void report();  // into the counters

 private:
  struct Candidate {
    OpId id = 0;
    results::Key key;
    results::Fingerprint fingerprint = 0;
    results::Kind kind = results::Kind::kKeyed;
  };
  // A result that is not durable yet; its run is over.
  struct Pending {
    results::Key key;
    std::string result;
    net::Reactor::TimerId due;
  };

  void on_seed(std::uint64_t seed, bool made_new) override;
  void on_recovered(const std::vector<results::Row>& rows) override;
  void on_store_state(results::StoreState state, const std::string& why) override;
  void on_drops_wanted(const std::vector<results::Key>& keys) override;

  bool identify(const Op& op, const peers::IncomingOp& in, const OpenOp& entered, Candidate& out) const;
  void nack(OpenOp& op, double come_back_in);
  void not_known(OpenOp& op, bool certain, double now);
  void on_intent(OpId id, const results::Key& key, bool durable);
  void not_started(OpId id, const results::Key& key, double come_back_in);
  void on_result_written(OpId id, bool durable);
  void answer_from_store(OpId id, const results::Key& key);
  enum class How { kAcked, kUnknown, kNeverRan };
  void answer_repeat(OpId id, How how, std::string_view result = {});
  void answer_repeats(const std::vector<OpId>& repeats, How how, std::string_view result = {});
  void look();

  net::Reactor& reactor_;
  Book& book_;
  Send& send_;
  Admit& admit_;
  const StartSettings& site_;
  ResultsOptions options_;
  Counters& counters_;
  Logger& log_;
  results::KeyMaker keys_;
  results::Table table_;
  results::Recovery recovery_;
  const std::unordered_set<std::string> by_digest_;  // op types
  Candidate candidate_;                              // between meeting an op and the module's act on it
  std::unordered_map<OpId, net::Reactor::TimerId> recording_;  // whose intent is on its way
  std::unordered_map<OpId, Pending> pending_;
  net::Reactor::TimerId look_timer_;
  std::unique_ptr<results::Store> store_;  // last: its thread ends first
};

}  // namespace damsonspoke::stages

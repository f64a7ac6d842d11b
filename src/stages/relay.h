// Brings back what runs and calls come to: to the caller, to the run that waits, to the module.
#pragma once

#include "peers/ports.h"
#include "stages/admit.h"
#include "stages/book.h"
#include "stages/send.h"
#include "stages/take_in.h"
#include "watch/counters.h"
#include "watch/logger.h"

namespace damsonspoke::stages {

class Relay : public peers::RuntimeEvents, public peers::BelowEvents {
 public:
  Relay(Book& book, Send& send, Recall& recall, Admit& admit, TakeIn& take_in, Halt halt, Counters& counters)
      : book_(book),
        send_(send),
        recall_(recall),
        admit_(admit),
        take_in_(take_in),
        pauses_(halt == Halt::kPause),
        counters_(counters) {}

  void on_runtime_ready(bool cold, double ago) override;
  void on_run_ended(OpId id, Outcome outcome, double spent, std::string_view result) override;
  void on_call_wanted(OpId id, std::uint64_t notice, std::string_view body) override;
  void on_verdict(std::uint64_t tag, bool good) override { take_in_.on_verdict(tag, good); }
  void on_not_started(OpId id) override;
  void on_runtime_anew(const std::unordered_set<OpId>& unsent) override;
  void on_call_ended(OpId id, Outcome outcome, double spent, std::string_view reply) override;

 private:
  Book& book_;
  Send& send_;
  Recall& recall_;
  Admit& admit_;
  TakeIn& take_in_;
  const bool pauses_;  // a stopped run keeps what it has done
  Counters& counters_;
};

}  // namespace damsonspoke::stages

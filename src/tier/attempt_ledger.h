// The forwarder's record of attempts: which attempt of each request is current. It ensures that a request
// gets one answer and never runs a second time without proof that the first attempt did not run. Policy
// without I/O.
//
// Invariant: a request has at most one attempt that may have run or may still run. A second attempt may begin
// only after proof that the first never ran: its planner rejected it, it was never written to a link, or it
// was fenced. For an attempt that was written to a planner whose epoch has ended there can be no proof, so
// its request fails.
//
// Fencing uses tokens and epochs as leases and replicated logs do. Results are identified by attempt as in
// RIFL (SOSP 2015).
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/request.h"

namespace damsonspoke::tier {

// The number of an attempt. Numbers rise during the forwarder's lifetime; none is used twice.
using Attempt = std::uint64_t;

enum class AttemptState {
  kOpen,          // written, or about to be, to a link that is up
  kFencing,       // its planner was asked for proof, on a link that is up
  kDisconnected,  // its link was lost; its planner may still be alive
};

struct AttemptRecord {
  RequestId request = 0;
  int planner = 0;
  std::uint64_t epoch = 0;  // of the planner that it was sent to
  AttemptState state = AttemptState::kOpen;
};

class AttemptLedger {
 public:
  // Begins an attempt. The request must not have a current one. `step` (at least 1) is the distance to the
  // previous number; when it is random, a planner can't guess the number of an attempt that it has not
  // received.
  [[nodiscard]] Attempt begin(RequestId request, int planner, std::uint64_t epoch, std::uint64_t step = 1);
  // The current attempt of a request, if there is one.
  [[nodiscard]] std::optional<Attempt> current_attempt(RequestId request) const;
  // The record of an attempt that is current, otherwise null.
  [[nodiscard]] const AttemptRecord* find(Attempt attempt) const;

  // Ends the attempt that this epoch of this planner has answered and returns its request. Returns none if
  // the attempt was abandoned, belongs to another planner or epoch, or never existed: the answer has to be
  // dropped.
  [[nodiscard]] std::optional<RequestId> record_answer(int planner, std::uint64_t epoch, Attempt attempt);
  // Starts fencing: the planner has to prove that the attempt never ran. Returns false if it was already
  // asked or can't be asked.
  [[nodiscard]] bool start_fencing(Attempt attempt);
  // A link was lost: marks the planner's attempts as disconnected. Returns them in the order of their
  // numbers. The caller reports those that were never written with record_unwritten().
  std::vector<Attempt> on_link_lost(int planner);
  // A link is up. Disconnected attempts of the same epoch have to be fenced. For those of an earlier epoch
  // there can be no proof, so they are removed. Both lists are in the order of the attempts' numbers.
  struct Reconnection {
    std::vector<Attempt> to_fence;
    std::vector<RequestId> lost;
  };
  [[nodiscard]] Reconnection on_link_up(int planner, std::uint64_t epoch);
  // The caller has disconnected or was answered without proof: a later answer to the attempt is dropped.
  void abandon(RequestId request);
  // The attempt was never written, which proves that it never ran: the request may be retried. Returns none
  // if the attempt is no longer current.
  [[nodiscard]] std::optional<RequestId> record_unwritten(Attempt attempt);
  // A planner has not reconnected in time: ends its attempts and returns their requests.
  [[nodiscard]] std::vector<RequestId> abandon_attempts_at(int planner);

  [[nodiscard]] std::size_t open_attempts() const { return attempts_.size(); }
  [[nodiscard]] int open_attempts_at(int planner) const;

 private:
  std::optional<RequestId> remove(Attempt attempt);
  [[nodiscard]] std::vector<Attempt> attempts_at(int planner) const;

  Attempt last_attempt_ = 0;
  std::unordered_map<Attempt, AttemptRecord> attempts_;
  std::unordered_map<RequestId, Attempt> attempt_of_request_;
  std::unordered_map<int, int> open_by_planner_;
};

}  // namespace damsonspoke::tier

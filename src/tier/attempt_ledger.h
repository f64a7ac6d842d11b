// Which attempt at a request still counts: the forwarder's side of "one answer, and never a second run
// without proof". Pure policy: attempts go in, what to do with them comes out.
//
// A request has at most one attempt that is not proven dead. A second one may begin only once the first is
// proven never to have run: refused by its planner, never written to a link, or fenced off with proof. What
// was written to a planner whose epoch has ended proves nothing and never will: its request ends as failed.
// After fencing tokens as in leases and epochs of replicated logs; RIFL (SOSP 2015) for results by attempt.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/request.h"

namespace damsonspoke::tier {

using Attempt = std::uint64_t;

// What is known of an attempt that was begun.
enum class AttemptState {
  kOpen,          // written, or about to be, to a link that is up
  kFencing,       // its planner was asked for proof, on a link that is up
  kDisconnected,  // its link has ended; the planner's life may go on
};

enum class Proof { kNeverRan, kRunning };

struct AttemptRecord {
  RequestId request = 0;
  int planner = 0;
  std::uint64_t epoch = 0;  // of the planner's life that it was sent to
  AttemptState state = AttemptState::kOpen;
};

class AttemptLedger {
 public:
  // Numbers go up for as long as this lives; none is used twice. The request must have no attempt in hand.
  // `step`, at least 1: how far above the last; by chance, so that a planner can't name an attempt that it
  // was never given.
  Attempt begin(RequestId request, int planner, std::uint64_t epoch, std::uint64_t step = 1);
  // The attempt in hand of a request, or none.
  std::optional<Attempt> current_attempt(RequestId request) const;
  const AttemptRecord* find(Attempt attempt) const;

  // An answer came from that life of that planner. The request whose answer it is; none where the attempt was
  // let go of, belongs to another planner or life, or never was: the answer is dropped.
  std::optional<RequestId> record_answer(int planner, std::uint64_t epoch, Attempt attempt);
  // Its planner shall prove that it never ran; false where that is asked already, or nobody can be asked.
  bool start_fencing(Attempt attempt);
  // A link to a planner ended: its attempts are adrift. Those never written are told by the mechanism with
  // record_unwritten() instead.
  std::vector<Attempt> on_link_lost(int planner);
  // A link to a planner is up: attempts adrift of the same life are to be fenced there; those of an earlier
  // life can never be proven and are let go of. Both in order of their numbers.
  struct Reconnection {
    std::vector<Attempt> to_fence;
    std::vector<RequestId> lost;
  };
  Reconnection on_link_up(int planner, std::uint64_t epoch);
  // Nobody waits for the request any more, or it was answered without proof: what comes of its attempt is
  // dropped.
  void abandon(RequestId request);
  // Proven never to have run; the request may have another attempt. None where the attempt is not in hand.
  std::optional<RequestId> never_ran(int planner, std::uint64_t epoch, Attempt attempt);
  std::optional<RequestId> record_unwritten(Attempt attempt);
  // A planner whose link is down has not come back in time: its attempts are no longer waited for.
  std::vector<RequestId> abandon_attempts_at(int planner);

  std::size_t open_attempts() const { return attempts_.size(); }
  int open_attempts_at(int planner) const;

 private:
  std::optional<RequestId> remove(Attempt attempt);
  std::vector<Attempt> attempts_at(int planner) const;

  Attempt last_attempt_ = 0;
  std::unordered_map<Attempt, AttemptRecord> attempts_;
  std::unordered_map<RequestId, Attempt> attempt_of_request_;
  std::unordered_map<int, int> open_by_planner_;
};

}  // namespace damsonspoke::tier

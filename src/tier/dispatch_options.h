// Options of a forwarder's dispatch.
#pragma once

#include <cstddef>
#include <cstdint>

#include "tier/key_attempts.h"
#include "tier/key_ownership.h"
#include "tier/picker.h"
#include "tier/wait_estimator.h"

namespace damsonspoke::tier {

struct DispatchOptions {
  PickerOptions picker;
  WaitEstimatorOptions wait_estimator;
  KeyOwnershipOptions key_ownership;
  KeyAttemptsOptions key_attempts;
  double retry_share = 0.1;        // retries for each first attempt
  double retry_burst = 10;         // retries at once
  double fence_after_share = 0.5;  // of the remaining time, after which an unanswered attempt is fenced
  double reconnect_timeout = 1;    // s that a planner may be disconnected before its requests fail
  double reply_margin = 0.02;      // s before its deadline at which the forwarder itself replies to a request
  double hop_time = 0.005;         // s subtracted from a planner's time, for the transit of its answer
  double startup_wait = 0;  // s from the first request on, in which requests wait for planners to connect
  double min_remaining_time = 0.03;        // s below which no attempt is begun
  std::size_t max_waiting_requests = 512;  // of each queue
  std::size_t max_waiting_bytes = 4 << 20;
  bool route_by_subject = false;  // requests of one subject go to one planner
  // The numbers of attempts increase by random steps of at most this. With 1, a faulty planner could guess
  // the number of an attempt that it has not received yet, and its answer would be accepted.
  std::uint64_t max_attempt_step = 1;
};

}  // namespace damsonspoke::tier

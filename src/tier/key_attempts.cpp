#include "tier/key_attempts.h"

#include <algorithm>

namespace damsonspoke::tier {
namespace {

// A planner process numbers its sessions from a random epoch on (wire/tier.h).
constexpr std::uint64_t kMaxSessionsOfProcess = std::uint64_t{1} << 32;

bool is_same_process(std::uint64_t epoch, std::uint64_t other) {
  return epoch - other < kMaxSessionsOfProcess || other - epoch < kMaxSessionsOfProcess;
}

}  // namespace

void KeyAttempts::on_attempt_sent(std::uint64_t key_hash, Attempt attempt, std::uint64_t epoch) {
  const auto [found, is_new] = keys_.try_emplace(key_hash);
  Key& key = found->second;
  if (!is_new && key.open_attempts == 0) window_ends_.erase({key.window_ends_at, key_hash});
  if (!is_new && !is_same_process(key.epoch, epoch)) key.is_beyond_proof = true;
  ++key.open_attempts;
  key.last_attempt = attempt;
  key.epoch = epoch;
  enforce_limit();
}

void KeyAttempts::on_attempt_proven_not_run(std::uint64_t key_hash) {
  const auto found = keys_.find(key_hash);
  if (found != keys_.end()) release_attempt(found);
}

void KeyAttempts::on_attempt_ended(std::uint64_t key_hash, double window_ends_at, bool has_run) {
  const auto found = keys_.find(key_hash);
  if (found == keys_.end()) return;
  Key& key = found->second;
  key.window_ends_at = std::max(key.window_ends_at, window_ends_at);
  key.is_beyond_proof = key.is_beyond_proof || has_run;
  release_attempt(found);
}

void KeyAttempts::on_key_unknown(std::uint64_t key_hash, Attempt lookup, std::uint64_t epoch,
                                 double latest_arrival) {
  const auto found = keys_.find(key_hash);
  if (found == keys_.end()) return;
  const Key& key = found->second;
  if (key.is_beyond_proof || key.open_attempts > 0) return;
  const bool has_got_all_attempts = is_same_process(key.epoch, epoch) && key.last_attempt < lookup;
  if (!has_got_all_attempts || latest_arrival >= key.window_ends_at) return;
  window_ends_.erase({key.window_ends_at, key_hash});
  keys_.erase(found);
}

// A key of which every attempt is proven never to have run is as good as one that was never sent.
void KeyAttempts::release_attempt(Keys::iterator found) {
  auto& [key_hash, key] = *found;
  if (--key.open_attempts > 0) return;
  if (key.window_ends_at == kNever) {
    keys_.erase(found);
    return;
  }
  window_ends_.insert({key.window_ends_at, key_hash});
  enforce_limit();
}

bool KeyAttempts::was_sent_since(std::uint64_t key_hash, Attempt lookup) const {
  const auto found = keys_.find(key_hash);
  return found != keys_.end() && found->second.last_attempt > lookup;
}

void KeyAttempts::on_request_withdrawn(std::uint64_t key_hash) {
  const auto found = pending_requests_.find(key_hash);
  if (found != pending_requests_.end() && --found->second == 0) pending_requests_.erase(found);
}

KeyHistory KeyAttempts::history(std::uint64_t key_hash, double arrived_at) const {
  const auto found = keys_.find(key_hash);
  if (found == keys_.end())
    return arrived_at < watermark_ ? KeyHistory::kPossiblyForgotten : KeyHistory::kNeverRan;
  const Key& key = found->second;
  const bool may_have_run = key.open_attempts > 0 || arrived_at < key.window_ends_at;
  return may_have_run ? KeyHistory::kMayHaveRun : KeyHistory::kNeverRan;
}

void KeyAttempts::drop_first_window() {
  const auto first = window_ends_.begin();
  watermark_ = std::max(watermark_, first->first);
  keys_.erase(first->second);
  window_ends_.erase(first);
}

void KeyAttempts::expire(double now) {
  while (!window_ends_.empty() && window_ends_.begin()->first + options_.allowed_lateness <= now)
    drop_first_window();
}

// Keys with open attempts stay: they are as many as open requests at most, which have bounds of their own.
void KeyAttempts::enforce_limit() {
  while (keys_.size() > options_.max_keys && !window_ends_.empty()) drop_first_window();
}

}  // namespace damsonspoke::tier

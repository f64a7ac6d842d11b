// MembershipView: push-pull anti-entropy. Members exchange all their records periodically, after a digest
// mismatch, with seeds, and with dead members, so that a long network split heals.
#include <algorithm>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"
#include "members/timing.h"

namespace damsonspoke::members {
namespace {

constexpr double kDigestMismatchSeconds = 5;  // gossip settles most differences sooner
constexpr double kMinDigestSyncSeconds = 3;   // between two push-pulls after digest mismatches
constexpr double kMinSeedBackoffSeconds = 0.25;
constexpr std::size_t kMaxGossipedUpdates = 16;  // from one push-pull

}  // namespace

std::uint64_t MembershipView::membership_digest() const {
  return is_leaving_ ? table_.digest() : table_.digest() ^ MemberTable::digest_of(self_.name, self_.epoch);
}

// A digest that differs for some time shows that this member or the other one has missed updates. After the
// loss of many members all members detect a difference at the same time: each schedules its push-pull at a
// random time, by which few are still needed.
void MembershipView::compare_digest(const std::string& address, std::uint64_t their_digest, double now) {
  if (their_digest == 0) return;  // not given
  if (their_digest == membership_digest()) {
    digest_differs_since_ = -1;
    return;
  }
  const double window = digest_sync_window(fleet_size());
  if (digest_differs_since_ < 0) {
    digest_differs_since_ = now;
    digest_sync_at_ = std::max(digest_sync_at_, now + kDigestMismatchSeconds + window * random_.unit());
  }
  if (now < digest_sync_at_) return;
  digest_sync_at_ = now + random_.jittered(std::max(kMinDigestSyncSeconds, window));
  digest_differs_since_ = -1;
  sink_.start_push_pull(address);
}

void MembershipView::run_push_pull(double now) {
  if (now < push_pull_at_) return;
  const double interval = push_pull_interval(options_, fleet_size());
  // The first push-pull was scheduled before the size of the fleet was known: in a large fleet most members
  // skip it.
  const bool is_due = has_push_pull_run_ || random_.unit() < options_.push_pull_interval / interval;
  has_push_pull_run_ = true;
  push_pull_at_ = now + random_.jittered(interval);
  if (!is_due) return;
  for (const MemberIndex index : random_members(1)) sink_.start_push_pull(table_[index].record.address);
}

void MembershipView::on_push_pull(const std::vector<Record>& records, double now) {
  ++counts_.push_pulls;
  if (has_yielded_) return;
  std::size_t updates = 0;
  for (const Record& record : records) {
    if (apply_record(record, now)) ++updates;
  }
  if (updates <= kMaxGossipedUpdates) return;
  // Many updates mean that this member is new or was disconnected, and that most other members know them:
  // gossiping them would cause a flood when a fleet starts or a split heals.
  for (const Record& record : records) {
    if (const std::optional<MemberIndex> index = table_.find(record.name)) gossip_.forget(*index);
  }
}

// Seeds reject push-pulls beyond their limit when many members start at once. A member that knows no other
// member yet retries with exponential backoff.
void MembershipView::on_push_pull_failed(double now) {
  if (table_.active_count() > 0 || has_yielded_) return;
  seed_backoff_ =
      seed_backoff_ == 0 ? kMinSeedBackoffSeconds : std::min(kSeedContactSeconds, 2 * seed_backoff_);
  seed_contact_at_ = std::min(seed_contact_at_, now + seed_backoff_ * (0.5 + random_.unit()));
}

void MembershipView::contact_seeds() {
  for (const std::string& seed : seeds_) {
    if (seed != self_.address) sink_.start_push_pull(seed);
  }
}

bool MembershipView::is_alive_at(const std::string& address) const {
  const std::vector<MemberIndex> indices = table_.indices();
  return std::any_of(indices.begin(), indices.end(), [&](MemberIndex index) {
    return table_[index].is_alive() && table_[index].record.address == address;
  });
}

void MembershipView::contact_missing_seed(double now) {
  if (now < seed_contact_at_) return;
  seed_contact_at_ = now + random_.jittered(kSeedContactSeconds);
  std::vector<std::string> missing;
  for (const std::string& seed : seeds_) {
    if (seed != self_.address && !is_alive_at(seed)) missing.push_back(seed);
  }
  if (!missing.empty()) sink_.start_push_pull(missing[random_.index(missing.size())]);
}

void MembershipView::contact_dead_member(double now) {
  if (now < dead_member_contact_at_) return;
  dead_member_contact_at_ = now + random_.jittered(kDeadContactSeconds);
  std::vector<std::string> dead;
  for (const MemberIndex index : table_.indices()) {
    const Member& member = table_[index];
    if (member.is_active()) continue;
    if (now - member.since > options_.dead_retention)
      forget_member(index);
    else if (member.record.condition == Condition::kDead)
      dead.push_back(member.record.address);
  }
  if (!dead.empty()) sink_.start_push_pull(dead[random_.index(dead.size())]);
}

void MembershipView::forget_member(MemberIndex index) {
  reported_links_.forget(table_[index].record.name);
  gossip_.forget(index);
  suspected_.erase(index);
  unreachable_.erase(index);
  table_.remove(index);
}

}  // namespace damsonspoke::members

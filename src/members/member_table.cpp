#include "members/member_table.h"

#include <xxhash.h>

namespace damsonspoke::members {

std::optional<MemberIndex> MemberTable::add(const Record& record, double now) {
  if (by_name_.size() >= kMaxMembers) return std::nullopt;
  auto index = static_cast<MemberIndex>(slots_.size());
  if (free_slots_.empty()) {
    slots_.emplace_back();
  } else {
    index = free_slots_.back();
    free_slots_.pop_back();
  }
  Member& member = (*this)[index];
  member.record = record;
  member.since = now;
  member.flap_counted_at = now;
  by_name_[record.name] = index;
  update_activity(index);
  return index;
}

void MemberTable::remove(MemberIndex index) {
  Slot& slot = slots_[static_cast<std::size_t>(index)];
  by_name_.erase(slot.member.record.name);
  slot.member = Member();
  update_activity(index);
  free_slots_.push_back(index);
}

std::optional<MemberIndex> MemberTable::find(const std::string& name) const {
  const auto found = by_name_.find(name);
  if (found == by_name_.end()) return std::nullopt;
  return found->second;
}

void MemberTable::update_activity(MemberIndex index) {
  Slot& slot = slots_[static_cast<std::size_t>(index)];
  const bool is_active = slot.member.is_active();
  const std::uint64_t digest = is_active ? digest_of(slot.member.record.name, slot.member.record.epoch) : 0;
  if (is_active && !slot.is_counted) ++active_count_;
  if (!is_active && slot.is_counted) --active_count_;
  digest_ ^= slot.digest ^ digest;
  slot.is_counted = is_active;
  slot.digest = digest;
}

std::vector<MemberIndex> MemberTable::indices() const {
  std::vector<MemberIndex> found;
  found.reserve(by_name_.size());
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    if (slots_[i].member.exists()) found.push_back(static_cast<MemberIndex>(i));
  }
  return found;
}

std::uint64_t MemberTable::digest_of(const std::string& name, std::uint64_t epoch) {
  return XXH64(name.data(), name.size(), epoch);
}

}  // namespace damsonspoke::members

#include "peers/runtime/command_ledger.h"

#include <algorithm>
#include <utility>

namespace damsonspoke::peers {
namespace {

// Commands that the runtime has read within this time before a link breaks may be lost, even where it has
// answered a later one.
constexpr double kLossSeconds = 0.05;
// The same period, plus the time until a break is usually noticed.
constexpr double kLossWindowSeconds = 0.25;

// Commands that were delivered and were sent before this time were not lost with the link. The break came
// after the last answered request was sent, however late it was noticed.
double loss_begins_at(const LinkLoss& loss) {
  return std::min(loss.at - kLossWindowSeconds, loss.known_alive_at - kLossSeconds);
}

void replace(RuntimeCommand& command) {
  command.text = std::move(command.replacement);
  command.replacement.clear();
  command.in_doubt = InDoubt::kResend;
}

}  // namespace

CommandLedger::Outgoing CommandLedger::add(CommandKey key, RuntimeCommand command) {
  RequestEntries& entries = requests_[key.id];
  Entry& entry = key.is_stop ? entries.stop : entries.run;
  entry = {};
  entry.number = ++last_number_;
  entry.command = std::move(command);
  if (entry.command.give_up_at > 0) entries.give_up_at = entry.command.give_up_at;
  return {key, entry.command.text, false};
}

void CommandLedger::mark_sent(CommandKey key, std::uint64_t stream_end, double now) {
  const auto found = requests_.find(key.id);
  if (found == requests_.end()) return;
  Entry& entry = key.is_stop ? found->second.stop : found->second.run;
  entry.delivery = Delivery::kSent;
  ++entry.send_count;
  entry.position = ++last_position_;
  entry.stream_end = stream_end;
  entry.sent_at = now;
}

void CommandLedger::mark_delivered(std::uint64_t position) {
  for (auto& [id, entries] : requests_) {
    for (Entry* entry : {&entries.run, &entries.stop}) {
      if (entry->delivery == Delivery::kSent && entry->position <= position)
        entry->delivery = Delivery::kDelivered;
    }
  }
}

bool CommandLedger::has_unacknowledged() const {
  return std::any_of(requests_.begin(), requests_.end(), [](const auto& request) {
    const RequestEntries& entries = request.second;
    return entries.run.delivery == Delivery::kSent || entries.stop.delivery == Delivery::kSent;
  });
}

void CommandLedger::update_delivery(Entry& entry, const LinkLoss& loss) {
  if (entry.delivery == Delivery::kDelivered) {
    const bool may_be_lost = loss.by_peer && entry.sent_at >= loss_begins_at(loss);
    if (may_be_lost) entry.delivery = Delivery::kInDoubt;
  } else if (entry.delivery == Delivery::kSent) {
    const bool has_left = entry.stream_end <= loss.bytes_taken;
    // It may also have been delivered over an earlier link.
    entry.delivery = has_left || entry.send_count > 1 ? Delivery::kInDoubt : Delivery::kUnsent;
    if (!has_left) --entry.send_count;
  }
}

std::size_t CommandLedger::on_link_lost(const LinkLoss& loss) {
  std::size_t newly_waiting = 0;
  last_number_before_link_ = last_number_;
  for (auto& [id, entries] : requests_) {
    const bool waited = awaits_notice(entries.run);
    update_delivery(entries.run, loss);
    update_delivery(entries.stop, loss);
    if (!waited && awaits_notice(entries.run)) ++newly_waiting;
  }
  return newly_waiting;
}

bool CommandLedger::is_sendable(const Entry& entry) {
  if (entry.number == 0) return false;
  if (entry.delivery == Delivery::kUnsent) return true;
  return entry.delivery == Delivery::kInDoubt && entry.command.in_doubt != InDoubt::kAwaitNotice;
}

std::vector<CommandLedger::Outgoing> CommandLedger::take_sendable() {
  std::vector<std::pair<std::uint64_t, Outgoing>> sendable;
  for (auto& [id, entries] : requests_) {
    for (const bool is_stop : {false, true}) {
      Entry& entry = is_stop ? entries.stop : entries.run;
      if (!is_sendable(entry)) continue;
      const bool is_resend = entry.send_count > 0;
      if (is_resend && entry.command.in_doubt == InDoubt::kReplace) replace(entry.command);
      sendable.push_back({entry.number, {{id, is_stop}, entry.command.text, is_resend}});
    }
  }
  std::sort(sendable.begin(), sendable.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Outgoing> in_order;
  in_order.reserve(sendable.size());
  for (const auto& [number, outgoing] : sendable) in_order.push_back(outgoing);
  return in_order;
}

void CommandLedger::on_notices_lost() {
  for (auto& [id, entries] : requests_) {
    const bool is_known_there = entries.run.delivery != Delivery::kUnsent || entries.run.number == 0;
    if (is_known_there) entries.may_have_ended = true;
  }
}

void CommandLedger::on_call_wanted(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  found->second.run = {};
  found->second.may_have_ended = false;
}

std::unordered_set<RequestId> CommandLedger::on_restart() {
  std::unordered_set<RequestId> unsent;
  std::erase_if(requests_, [&](const auto& request) {
    const Entry& run = request.second.run;
    const bool has_left = !is_new_start(request.first) &&
                          (run.number == 0 || !run.command.is_start || run.delivery != Delivery::kUnsent);
    if (!has_left) unsent.insert(request.first);
    return has_left;
  });
  return unsent;
}

bool CommandLedger::is_new_start(RequestId id) const {
  const auto found = requests_.find(id);
  return found != requests_.end() && found->second.run.command.is_start &&
         found->second.run.number > last_number_before_link_;
}

bool CommandLedger::was_resent(RequestId id) const {
  const auto found = requests_.find(id);
  return found != requests_.end() && found->second.run.send_count > 1;
}

// ---- Commands in doubt.

bool CommandLedger::awaits_notice(const Entry& entry) {
  return entry.delivery == Delivery::kInDoubt && entry.command.in_doubt == InDoubt::kAwaitNotice;
}

bool CommandLedger::is_to_be_given_up(const RequestEntries& entries) {
  return entries.may_have_ended || awaits_notice(entries.run);
}

std::optional<double> CommandLedger::next_give_up() const {
  std::optional<double> next;
  for (const auto& [id, entries] : requests_) {
    if (is_to_be_given_up(entries)) next = std::min(next.value_or(entries.give_up_at), entries.give_up_at);
  }
  return next;
}

std::vector<RequestId> CommandLedger::requests_to_give_up(double now) const {
  std::vector<RequestId> ids;
  for (const auto& [id, entries] : requests_) {
    if (is_to_be_given_up(entries) && entries.give_up_at <= now) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace damsonspoke::peers

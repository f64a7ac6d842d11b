// One membership view with simulated members that answer as the test specifies, step by step.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "members/membership_view.h"

// The view's name is "v" and the others are "m0", "m1" and so on, each at its name with port 1.
struct SingleView : damsonspoke::members::MembershipSink {
  using Message = damsonspoke::members::Message;
  using MessageKind = damsonspoke::members::MessageKind;
  using Record = damsonspoke::members::Record;
  using Condition = damsonspoke::members::Condition;

  explicit SingleView(int others, std::vector<std::string> seeds = {}, std::uint64_t random_seed = 3)
      : view(damsonspoke::members::MembershipOptions(), {"v", "v:1", 100}, std::move(seeds), random_seed,
             *this) {
    view.start(0);
    std::vector<Record> records;
    records.reserve(static_cast<std::size_t>(others));
    for (int i = 0; i < others; ++i) records.push_back(record("m" + std::to_string(i)));
    if (others > 0) view.on_push_pull(records, 0);
  }

  static Record record(const std::string& name, std::uint32_t incarnation = 0,
                       Condition condition = Condition::kAlive) {
    Record record;
    record.name = name;
    record.epoch = kEpoch;
    record.address = name + ":1";
    record.incarnation = incarnation;
    record.condition = condition;
    return record;
  }

  void send(const std::string& address, const Message& message) override {
    sent.emplace_back(address, message);
    const std::string name = address.substr(0, address.find(':'));
    const bool is_asked = message.kind == MessageKind::kPing || message.kind == MessageKind::kPingRequest;
    if (is_asked && answers && answers(name)) unanswered.emplace_back(name, message);
  }
  void start_push_pull(const std::string& address) override { push_pulls.push_back(address); }
  void on_state_changed(const std::string& name, damsonspoke::members::MemberState state,
                        damsonspoke::members::StateChangeReason /*reason*/) override {
    states[name] = state;
  }
  void on_notice(const damsonspoke::members::Notice& /*notice*/) override {}

  // The view receives a message of another member.
  void receive(const std::string& from, MessageKind kind, std::vector<Record> records, bool is_stale = false,
               std::uint64_t membership_digest = 0) {
    Message message;
    message.kind = kind;
    message.sender = from;
    message.sender_epoch = kEpoch;
    message.datagram_number = ++datagram_number;
    message.target = "v";
    message.probe_id = 1;
    message.membership_digest = membership_digest;
    records.insert(records.begin(), record(from, incarnations[from]));
    message.records = std::move(records);
    view.on_message(from + ":1", message, now, is_stale);
  }

  void run_until(double time) {
    while (view.next_timer_at() <= time) {
      now = std::max(now, view.next_timer_at());
      view.on_timer(now);
      for (const auto& [name, request] : std::exchange(unanswered, {})) answer(name, request);
    }
    now = time;
  }
  void run_until_state(const std::string& name, damsonspoke::members::MemberState state, double latest) {
    while (now < latest && states[name] != state) run_until(now + 0.1);
  }

  // Pings get an ack; ping requests get a negative ack.
  void answer(const std::string& name, const Message& request) {
    Message message;
    message.kind = request.kind == MessageKind::kPing ? MessageKind::kAck : MessageKind::kNegativeAck;
    message.sender = name;
    message.sender_epoch = kEpoch;
    message.datagram_number = ++datagram_number;
    message.probe_id = request.probe_id;
    message.target = request.target;
    message.records = {record(name, incarnations[name])};
    view.on_message(name + ":1", message, now);
  }

  [[nodiscard]] auto sent_count(MessageKind kind) const {
    return std::count_if(sent.begin(), sent.end(), [&](const auto& one) { return one.second.kind == kind; });
  }
  [[nodiscard]] std::size_t sent_records() const {
    std::size_t records = 0;
    for (const auto& [address, message] : sent) records += message.records.size();
    return records;
  }

  static constexpr std::uint64_t kEpoch = 50;
  double now = 0;
  std::function<bool(const std::string&)> answers;  // whether the member of that name answers
  std::map<std::string, std::uint32_t> incarnations;
  std::vector<std::pair<std::string, Message>> sent;  // with the address
  std::vector<std::pair<std::string, Message>> unanswered;
  std::vector<std::string> push_pulls;  // addresses
  std::map<std::string, damsonspoke::members::MemberState> states;
  std::uint32_t datagram_number = 0;
  damsonspoke::members::MembershipView view;
};

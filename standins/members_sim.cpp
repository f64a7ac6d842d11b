#include "members_sim.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "wire/members.h"

namespace damsonspoke::standins {

using namespace members;

namespace {

constexpr double kLateSeconds = 2;
constexpr double kFalseDeathSeconds = 5;  // declarations of a member within this time count as one
constexpr std::uint64_t kEncodeOnePushPullIn = 50;
constexpr std::size_t kUdpHeaderBytes = 28;  // IP and UDP
constexpr std::size_t kMaxBacklog = 200;
constexpr int kSeedsPerMember = 3;
constexpr int kSeedStride = 7;
constexpr int kAddressesPerNetwork = 250;
const std::string kCluster = "cluster";

}  // namespace

// ---- A node.

void MembersSim::Node::send(const std::string& to, const Message& message) {
  DatagramTraffic& traffic = sim->datagrams_;
  ++traffic.sent;
  traffic.records += message.records.size();
  const auto encode_one_in = static_cast<std::uint64_t>(sim->options_.encode_one_in);
  if (encode_one_in > 0 && traffic.sent % encode_one_in == 0) {
    ++traffic.encoded;
    traffic.encoded_bytes += wire::members::encode(kCluster, message).size() + kUdpHeaderBytes;
  }
  const auto found = sim->by_address_.find(to);
  if (found != sim->by_address_.end())
    sim->deliver(number, found->second, std::make_shared<Message>(message));
}

void MembersSim::Node::start_push_pull(const std::string& to) {
  const auto found = sim->by_address_.find(to);
  if (found == sim->by_address_.end()) return;
  const int other = found->second;
  const std::uint64_t started_by = process;
  sim->schedule(sim->now_ + 2 * sim->options_.latency, [this, other, started_by] {
    if (is_up && process == started_by && paused_until <= sim->now_) sim->push_pull(*this, sim->node(other));
  });
}

void MembersSim::Node::on_state_changed(const std::string& member, MemberState state,
                                        StateChangeReason reason) {
  if (sim->on_change)
    sim->on_change(number, fmt::format("{} is {}: {}", member, text_of(state), text_of(reason)));
  if (state != MemberState::kDead) return;
  const auto found = sim->by_name_.find(member);
  if (found == sim->by_name_.end()) return;
  const int of = found->second;
  if (!sim->is_up(of)) return sim->note_death_found(of);
  const bool is_former_process = known_epoch(member) < sim->view(of).self().epoch;
  if (!is_former_process) sim->note_false_death(number, of);
}

void MembersSim::Node::on_notice(const Notice& notice) {
  if (sim->on_change) sim->on_change(number, text_of(notice));
}

std::uint64_t MembersSim::Node::known_epoch(const std::string& member) const {
  for (const MemberStatus& status : view->members(sim->now_)) {
    if (status.name == member) return status.epoch;
  }
  return 0;
}

// ---- The fleet.

MembersSim::MembersSim(Options options) : options_(std::move(options)), random_(options_.seed) {
  for (int i = 0; i < options_.count; ++i) add_node(fmt::format("{}{}", options_.name_prefix, i));
}

MembersSim::Node& MembersSim::add_node(const std::string& name) {
  auto added = std::make_unique<Node>();
  added->sim = this;
  added->number = count();
  added->name = name;
  added->address = fmt::format("10.0.{}.{}:7400", added->number / kAddressesPerNetwork,
                               added->number % kAddressesPerNetwork);
  by_address_[added->address] = added->number;
  by_name_.emplace(name, added->number);
  nodes_.push_back(std::move(added));
  return *nodes_.back();
}

double MembersSim::random_unit() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }

void MembersSim::schedule(double time, std::function<void()> action) {
  events_.push({time, next_event_++, std::move(action)});
}

void MembersSim::start_all(bool know_one_another) {
  for (int i = 0; i < options_.count; ++i) start(i);
  if (!know_one_another) return;
  std::vector<Record> records;
  records.reserve(nodes_.size());
  for (const auto& one : nodes_) records.push_back(one->view->self_record(now_));
  for (const auto& one : nodes_) one->view->on_push_pull(records, now_);
}

void MembersSim::start(int number) {
  Node& started = node(number);
  if (started.is_up) return;
  std::vector<std::string> seeds;
  seeds.reserve(kSeedsPerMember);
  for (int i = 0; i < kSeedsPerMember; ++i) seeds.push_back(node(i * kSeedStride % options_.count).address);
  started.is_up = true;
  ++started.process;
  started.paused_until = -1;
  started.backlog.clear();
  const Self self{started.name, started.address, next_epoch_++};
  started.view = std::make_unique<MembershipView>(options_.membership, self, seeds,
                                                  static_cast<std::uint64_t>(random_()), started);
  LoadReport report;
  report.role = "relay";
  report.zone = fmt::format("z{}", number % 3);
  report.build = "1.0";
  report.free_capacity = 8;
  started.view->set_load_report(report);
  started.view->start(now_);
  schedule_timer(started);
}

void MembersSim::start_clone(int number) {
  const std::string name = node(number).name;
  add_node(name);
  start(count() - 1);
}

void MembersSim::schedule_timer(Node& node) {
  const std::uint64_t process = node.process;
  schedule(std::max(node.view->next_timer_at(), now_), [this, &node, process] {
    if (!node.is_up || node.process != process) return;
    if (node.paused_until > now_) return;  // resume() continues
    node.view->on_timer(now_);
    schedule_timer(node);
  });
}

void MembersSim::kill(int number) {
  Node& killed = node(number);
  if (!killed.is_up) return;
  killed.is_up = false;
  deaths_.push_back({now_, number, {}});
}

void MembersSim::leave(int number) {
  Node& leaving = node(number);
  if (!leaving.is_up) return;
  leaving.view->leave(now_);
  const std::uint64_t process = leaving.process;
  schedule(now_ + 1, [&leaving, process] {
    if (leaving.process == process) leaving.is_up = false;
  });
}

void MembersSim::pause(int number, double seconds) {
  Node& paused = node(number);
  if (!paused.is_up || paused.paused_until > now_) return;
  paused.paused_until = now_ + seconds;
  const std::uint64_t process = paused.process;
  schedule(paused.paused_until, [this, &paused, process] {
    if (paused.is_up && paused.process == process) resume(paused);
  });
}

// As in a real process, the timer fires late, and messages that waited in the socket are handled as stale.
void MembersSim::resume(Node& node) {
  const bool is_stale = node.view->on_timer(now_);
  for (const auto& [from, message] : node.backlog) node.view->on_message(from, *message, now_, is_stale);
  node.backlog.clear();
  schedule_timer(node);
}

void MembersSim::deliver(int from, int to, const SharedMessage& message) {
  if (is_lost(from, to) || random_unit() < options_.loss) return;
  const int copies = random_unit() < duplicated_share ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const double extra = random_unit() < late_share ? kLateSeconds : 0;
    const double arrives_at = now_ + options_.latency + options_.jitter * random_unit() + extra;
    schedule(arrives_at, [this, from, to, message] { receive(from, to, message); });
  }
}

void MembersSim::receive(int from, int to, const SharedMessage& message) {
  Node& receiver = node(to);
  if (!receiver.is_up) return;
  const std::string& address = node(from).address;
  if (receiver.paused_until <= now_)
    receiver.view->on_message(address, *message, now_);
  else if (receiver.backlog.size() < kMaxBacklog)
    receiver.backlog.emplace_back(address, message);
}

void MembersSim::push_pull(Node& initiator, Node& other) {
  const bool is_broken = is_lost(initiator.number, other.number) || is_lost(other.number, initiator.number);
  if (!other.is_up || is_broken || other.paused_until > now_)
    return initiator.view->on_push_pull_failed(now_);
  const std::vector<Record> sent = initiator.view->full_state(now_);
  const std::vector<Record> answered = other.view->full_state(now_);
  push_pulls_.records += sent.size() + answered.size();
  if (options_.encode_one_in > 0 && ++push_pull_count_ % kEncodeOnePushPullIn == 1) {
    push_pulls_.encoded_records += sent.size();
    push_pulls_.encoded_bytes += wire::members::encode_push_pull(kCluster, sent).size();
  }
  other.view->on_push_pull(sent, now_);
  initiator.view->on_push_pull(answered, now_);
}

void MembersSim::run_until(double time) {
  const auto up_count =
      std::count_if(nodes_.begin(), nodes_.end(), [](const auto& one) { return one->is_up; });
  member_seconds_ += static_cast<double>(up_count) * (time - now_);
  while (!events_.empty() && events_.top().at <= time) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.action();
  }
  now_ = time;
}

// ---- Observations.

void MembersSim::note_death_found(int dead) {
  const auto last = std::find_if(deaths_.rbegin(), deaths_.rend(),
                                 [dead](const Death& death) { return death.node == dead; });
  if (last != deaths_.rend()) last->found.push_back(now_ - last->at);
}

void MembersSim::note_false_death(int by, int of) {
  const auto last = last_false_death_at_.find(of);
  if (last == last_false_death_at_.end() || now_ - last->second > kFalseDeathSeconds)
    false_deaths_.push_back({now_, by, of});
  last_false_death_at_[of] = now_;
}

MemberState MembersSim::state(int observer, const std::string& name) const {
  for (const MemberStatus& status : node(observer).view->members(now_)) {
    if (status.name == name) return status.state;
  }
  return MemberState::kLeft;
}

bool MembersSim::views_agree(std::string* difference) {
  for (int i = 0; i < count(); ++i) {
    if (is_up(i) && !view(i).has_yielded() && !agrees_with_truth(i, difference)) return false;
  }
  return true;
}

bool MembersSim::agrees_with_truth(int observer, std::string* difference) {
  std::map<std::string, MemberState> states;
  for (const MemberStatus& status : view(observer).members(now_)) states[status.name] = status.state;
  for (int i = 0; i < count(); ++i) {
    const bool is_yielded_clone = is_up(i) && view(i).has_yielded();
    if (name(observer) == name(i) || is_yielded_clone) continue;
    const auto found = states.find(name(i));
    const bool is_known = found != states.end();
    const bool is_seen_alive =
        is_known && (found->second == MemberState::kAlive || found->second == MemberState::kFlapping);
    if (is_seen_alive == is_up(i)) continue;
    if (difference != nullptr)
      *difference = fmt::format("{} sees {} as {}, but it is {}", name(observer), name(i),
                                is_known ? text_of(found->second) : "unknown", is_up(i) ? "up" : "down");
    return false;
  }
  return true;
}

MembershipView::Counts MembersSim::counts() const {
  MembershipView::Counts sum;
  for (const auto& one : nodes_) {
    if (!one->view) continue;
    const MembershipView::Counts& counts = one->view->counts();
    sum.probes += counts.probes;
    sum.failed_probes += counts.failed_probes;
    sum.indirect_probes += counts.indirect_probes;
    sum.suspicions += counts.suspicions;
    sum.deaths += counts.deaths;
    sum.refutations += counts.refutations;
    sum.pauses += counts.pauses;
    sum.mass_silences += counts.mass_silences;
    sum.push_pulls += counts.push_pulls;
    sum.rejected_members += counts.rejected_members;
  }
  return sum;
}

// ---- Traffic.

// Keeps the sample of push-pulls, since the mean bytes of a record in them do not change.
void MembersSim::reset_traffic() {
  datagrams_ = {};
  push_pulls_.records = 0;
  traffic_since_ = now_;
}

double MembersSim::per_member_second(double total) const {
  const double seconds = now_ - traffic_since_;
  return seconds > 0 ? total / seconds / options_.count : 0;
}

double MembersSim::datagram_bytes_per_member_second() const {
  if (datagrams_.encoded == 0) return 0;
  const double mean = static_cast<double>(datagrams_.encoded_bytes) / static_cast<double>(datagrams_.encoded);
  return per_member_second(mean * static_cast<double>(datagrams_.sent));
}

double MembersSim::push_pull_bytes_per_member_second() const {
  if (push_pulls_.encoded_records == 0) return 0;
  const double mean =
      static_cast<double>(push_pulls_.encoded_bytes) / static_cast<double>(push_pulls_.encoded_records);
  return per_member_second(mean * static_cast<double>(push_pulls_.records));
}

}  // namespace damsonspoke::standins

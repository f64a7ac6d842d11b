#include "members_sim.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "wire/members.h"

namespace damsonspoke::standins {

using namespace members;

namespace {

constexpr double kLate = 2;                       // s; of datagrams that come late
constexpr double kStreamPatience = 1;             // s; a paused peer does not answer a stream in time
constexpr double kSpell = 5;                      // s; one wrong death told by many is one
constexpr std::uint64_t kWeighExchangeEach = 50;  // exchanges; one of so many is encoded, to know its bytes

}  // namespace

void MembersSim::Node::send(const std::string& to, const Message& message) {
  const auto found = sim->by_address_.find(to);
  ++sim->sent_;
  sim->sent_records_ += message.records.size();
  if (sim->options_.weigh_each > 0 &&
      sim->sent_ % static_cast<std::uint64_t>(sim->options_.weigh_each) == 0) {
    ++sim->weighed_;
    sim->weighed_bytes_ +=
        wire::members::encode("cluster", message).size() + 28;  // with its IP and UDP heads
  }
  if (found == sim->by_address_.end()) return;
  sim->deliver(number, found->second, std::make_shared<Message>(message));
}

void MembersSim::Node::start_push_pull(const std::string& to) {
  const auto found = sim->by_address_.find(to);
  if (found == sim->by_address_.end()) return;
  const int other = found->second;
  const std::uint64_t mine = life;
  sim->at(sim->now_ + 2 * sim->options_.latency, [s = sim, a = number, b = other, mine] {
    Node &x = *s->nodes_[static_cast<std::size_t>(a)], &y = *s->nodes_[static_cast<std::size_t>(b)];
    if (!x.up || x.life != mine) return;
    if (x.paused_until > s->now_) return;
    const bool cut = s->is_cut(a, b) || s->is_cut(b, a);
    if (!y.up || cut || y.paused_until > s->now_) return x.view->on_push_pull_failed(s->now_);
    const std::vector<Record> of_x = x.view->full_state(s->now_), of_y = y.view->full_state(s->now_);
    s->exchanged_records_ += of_x.size() + of_y.size();
    if (s->options_.weigh_each > 0 && ++s->exchanges_ % kWeighExchangeEach == 1) {
      s->weighed_records_ += of_x.size();
      s->weighed_exchange_bytes_ += wire::members::encode_push_pull("cluster", of_x).size();
    }
    y.view->on_push_pull(of_x, s->now_);
    x.view->on_push_pull(of_y, s->now_);
  });
}

void MembersSim::Node::on_state_changed(const std::string& who, MemberState state, StateChangeReason reason) {
  if (sim->on_change)
    sim->on_change(number, fmt::format("{} is {}: {}", who, text_of(state), text_of(reason)));
  if (state != MemberState::kDead) return;
  const auto found = sim->by_name_.find(who);
  if (found == sim->by_name_.end()) return;
  const int of = found->second;
  if (!sim->up(of)) {
    for (auto it = sim->deaths_.rbegin(); it != sim->deaths_.rend(); ++it) {
      if (it->node != of) continue;
      it->found.push_back(sim->now_ - it->at);
      return;
    }
    return;
  }
  if (epoch_known(who) < sim->nodes_[static_cast<std::size_t>(of)]->view->self().epoch)
    return;  // the life before this one, which did end
  const auto last = sim->wrong_since_.find(of);
  if (last == sim->wrong_since_.end() || sim->now_ - last->second > kSpell)
    sim->wrong_.push_back({sim->now_, number, of});
  sim->wrong_since_[of] = sim->now_;
}

std::uint64_t MembersSim::Node::epoch_known(const std::string& who) const {
  for (const MemberStatus& seen : view->members(sim->now_)) {
    if (seen.name == who) return seen.epoch;
  }
  return 0;
}

void MembersSim::Node::on_notice(const Notice& notice) {
  if (sim->on_change) sim->on_change(number, text_of(notice));
}

MembersSim::MembersSim(Options options) : options_(options), random_(options.seed) {
  for (int i = 0; i < options_.count; ++i) add_node(fmt::format("{}{}", options_.names, i));
}

MembersSim::Node& MembersSim::add_node(const std::string& name) {
  auto node = std::make_unique<Node>();
  node->sim = this;
  node->number = static_cast<int>(nodes_.size());
  node->name = name;
  node->address = fmt::format("10.0.{}.{}:7400", node->number / 250, node->number % 250);
  by_address_[node->address] = node->number;
  by_name_.emplace(name, node->number);
  nodes_.push_back(std::move(node));
  return *nodes_.back();
}

double MembersSim::chance() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }

void MembersSim::at(double time, std::function<void()> act) {
  events_.push({time, next_event_++, std::move(act)});
}

void MembersSim::begin(bool acquainted) {
  for (int i = 0; i < options_.count; ++i) start(i);
  if (!acquainted) return;
  std::vector<Record> all;
  for (const auto& node : nodes_) all.push_back(node->view->self_record(now_));
  for (const auto& node : nodes_) node->view->on_push_pull(all, now_);
}

void MembersSim::start(int number) {
  Node& node = *nodes_[static_cast<std::size_t>(number)];
  if (node.up) return;
  std::vector<std::string> seeds;
  for (int i = 0; i < 3; ++i)
    seeds.push_back(nodes_[static_cast<std::size_t>(i * 7 % options_.count)]->address);
  node.up = true;
  ++node.life;
  node.paused_until = -1;
  node.backlog.clear();
  node.view =
      std::make_unique<MembershipView>(options_.membership, Self{node.name, node.address, next_epoch_++},
                                       seeds, static_cast<std::uint64_t>(random_()), node);
  LoadReport load_report;
  load_report.role = "relay", load_report.zone = fmt::format("z{}", number % 3), load_report.build = "1.0",
  load_report.free_capacity = 8;
  node.view->set_load_report(load_report);
  node.view->start(now_);
  schedule_wake(node);
}

void MembersSim::clone(int of) {
  const std::string name = nodes_[static_cast<std::size_t>(of)]->name;
  add_node(name);
  start(count() - 1);
}

void MembersSim::schedule_wake(Node& node) {
  const std::uint64_t life = node.life;
  const double when = std::max(node.view->next_timer_at(), now_);
  node.next_wake = when;
  at(when, [this, &node, life] {
    if (!node.up || node.life != life) return;
    if (node.paused_until > now_) return;  // resume() goes on
    node.view->on_timer(now_);
    schedule_wake(node);
  });
}

void MembersSim::kill(int number) {
  Node& node = *nodes_[static_cast<std::size_t>(number)];
  if (!node.up) return;
  node.up = false;
  deaths_.push_back({now_, number, {}});
}

void MembersSim::leave(int number) {
  Node& node = *nodes_[static_cast<std::size_t>(number)];
  if (!node.up) return;
  node.view->leave(now_);
  const std::uint64_t life = node.life;
  at(now_ + 1, [&node, life] {
    if (node.life == life) node.up = false;
  });
}

void MembersSim::pause(int number, double seconds) {
  Node& node = *nodes_[static_cast<std::size_t>(number)];
  if (!node.up || node.paused_until > now_) return;
  node.paused_until = now_ + seconds;
  const std::uint64_t life = node.life;
  at(node.paused_until, [this, &node, life] {
    if (node.up && node.life == life) resume(node);
  });
}

// As a process that goes on: its timer is late, and what waited in its socket is read as stale.
void MembersSim::resume(Node& node) {
  const bool noticed = node.view->on_timer(now_);
  for (const auto& [from, message] : node.backlog) node.view->on_message(from, *message, now_, noticed);
  node.backlog.clear();
  schedule_wake(node);
}

void MembersSim::deliver(int from, int to, std::shared_ptr<const Message> message) {
  if (is_cut(from, to) || chance() < options_.loss) return;
  const int copies = chance() < doubled ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const double extra = chance() < late ? kLate : 0;
    const double when = now_ + options_.latency + options_.jitter * chance() + extra;
    at(when, [this, from, to, message] {
      Node& node = *nodes_[static_cast<std::size_t>(to)];
      if (!node.up) return;
      const std::string& address = nodes_[static_cast<std::size_t>(from)]->address;
      if (node.paused_until > now_) {
        if (node.backlog.size() < 200) node.backlog.emplace_back(address, message);
        return;
      }
      node.view->on_message(address, *message, now_);
    });
  }
}

void MembersSim::run_until(double time) {
  double up = 0;
  for (const auto& node : nodes_) up += node->up ? 1 : 0;
  member_seconds_ += up * (time - now_);
  while (!events_.empty() && events_.top().at <= time) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.act();
  }
  now_ = time;
}

MemberState MembersSim::state(int of, const std::string& name) {
  for (const MemberStatus& seen : view(of).members(now_)) {
    if (seen.name == name) return seen.state;
  }
  return MemberState::kLeft;
}

double MembersSim::a_member_second(double total) const {
  const double seconds = now_ - bytes_since_;
  return seconds > 0 ? total / seconds / options_.count : 0;
}

double MembersSim::datagram_bytes_a_member_second() const {
  if (weighed_ == 0) return 0;
  const double mean = static_cast<double>(weighed_bytes_) / static_cast<double>(weighed_);
  return a_member_second(mean * static_cast<double>(sent_));
}

double MembersSim::exchange_bytes_a_member_second() const {
  if (weighed_records_ == 0) return 0;
  const double mean = static_cast<double>(weighed_exchange_bytes_) / static_cast<double>(weighed_records_);
  return a_member_second(mean * static_cast<double>(exchanged_records_));
}

void MembersSim::forget_bytes() {
  weighed_ = weighed_bytes_ = sent_ = sent_records_ = exchanged_records_ =
      0;  // a record's bytes in an exchange stay known
  bytes_since_ = now_;
}

bool MembersSim::views_same(std::string* how_not) {
  for (int i = 0; i < count(); ++i) {
    if (!up(i) || view(i).has_yielded()) continue;
    std::map<std::string, MemberState> seen;
    for (const MemberStatus& one : view(i).members(now_)) seen[one.name] = one.state;
    for (int j = 0; j < count(); ++j) {
      if (i == j || name(i) == name(j) || (up(j) && view(j).has_yielded())) continue;
      const auto found = seen.find(name(j));
      const bool there = found != seen.end() &&
                         (found->second == MemberState::kAlive || found->second == MemberState::kFlapping);
      if (there == up(j)) continue;
      if (how_not != nullptr)
        *how_not =
            fmt::format("{} sees {} as {}, which is {}", name(i), name(j),
                        found == seen.end() ? "unknown" : text_of(found->second), up(j) ? "up" : "down");
      return false;
    }
  }
  return true;
}

MembershipView::Counts MembersSim::counts() const {
  MembershipView::Counts sum;
  for (const auto& node : nodes_) {
    if (!node->view) continue;
    const MembershipView::Counts& c = node->view->counts();
    sum.probes += c.probes, sum.failed_probes += c.failed_probes, sum.indirect_probes += c.indirect_probes,
        sum.suspicions += c.suspicions;
    sum.deaths += c.deaths, sum.refutations += c.refutations, sum.pauses += c.pauses,
        sum.mass_silences += c.mass_silences;
    sum.push_pulls += c.push_pulls, sum.rejected_members += c.rejected_members;
  }
  return sum;
}

}  // namespace damsonspoke::standins

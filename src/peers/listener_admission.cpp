#include "peers/listener_admission.h"

#include <algorithm>
#include <utility>

#include "net/lingering_close.h"

namespace damsonspoke::peers {
namespace {

// Bounds the wait of a complete message for its turn: well below any timeout of a client.
constexpr double kMaxHoldBackSeconds = 0.25;

Count counter_of(net::CloseReason why) {
  switch (why) {
    case net::CloseReason::kOrderly: return Count::kCallersClosed;
    case net::CloseReason::kOverflow: return Count::kBadSlowPeers;
    case net::CloseReason::kRefused:
    case net::CloseReason::kBroken: break;
  }
  return Count::kCallersReset;
}

}  // namespace

ListenerAdmission::ListenerAdmission(net::Reactor& reactor, const ListenerLimits& limits,
                                     FindClient find_client, Counters& counters)
    : reactor_(reactor),
      limits_(limits),
      find_client_(std::move(find_client)),
      counters_(counters),
      output_{limits.output_bytes, 0} {}

ListenerAdmission::~ListenerAdmission() { reactor_.cancel(read_turn_timer_); }

void ListenerAdmission::register_listener(ConnectionAdmission::Evict evict,
                                          ConnectionAdmission::RejectionMessage rejection_message) {
  if (!is_by_client()) return;
  limits_.admission->register_listener(limits_.listener, output_, std::move(evict),
                                       std::move(rejection_message));
}

bool ListenerAdmission::has_capacity(std::size_t open_count) const {
  if (limits_.quota != nullptr) return limits_.quota->has_capacity(limits_.listener);
  return static_cast<int>(open_count) < limits_.connections;
}

bool ListenerAdmission::admit(std::uint64_t tag, const net::Accepted& accepted, std::size_t open_count,
                              const std::function<bool()>& evict_one) {
  if (is_by_client()) return limits_.admission->admit(limits_.listener, tag, accepted);
  if (has_capacity(open_count) || evict_one()) {
    if (limits_.quota != nullptr) limits_.quota->on_opened(limits_.listener);
    return true;
  }
  counters_.add(Count::kCallersRejected);
  net::LingeringClose::begin(reactor_, accepted.fd);
  return false;
}

net::OutputPool* ListenerAdmission::output_pool(std::uint64_t tag) {
  return is_by_client() ? limits_.admission->output_pool(tag) : &output_;
}

void ListenerAdmission::evict(ClientConnection& client) {
  counters_.add(Count::kCallersEvicted);
  client.connection->close_gracefully();
  if (limits_.quota != nullptr) limits_.quota->on_closed(limits_.listener);
  client.is_evicted = true;
}

void ListenerAdmission::on_closed(const ClientConnection& client, net::CloseReason why) {
  const std::uint64_t tag = client.connection->tag;
  held_back_.remove(tag);
  if (is_by_client()) {
    if (!client.has_requested && why == net::CloseReason::kBroken)
      limits_.admission->penalize(tag, conns::Penalty::kReset);
    limits_.admission->on_closed(tag);
  } else if (limits_.quota != nullptr && !client.is_evicted) {
    limits_.quota->on_closed(limits_.listener);
  }
  counters_.add(counter_of(why));
}

void ListenerAdmission::penalize(const ClientConnection& client, conns::Penalty penalty) {
  if (is_by_client()) limits_.admission->penalize(client.connection->tag, penalty);
}

void ListenerAdmission::set_busy(const ClientConnection& client, bool is_busy) {
  if (is_by_client() && client.connection->open())
    limits_.admission->set_busy(client.connection->tag, is_busy);
}

void ListenerAdmission::on_request_read(const ClientConnection& client) {
  if (is_by_client()) limits_.admission->on_request_read(client.connection->tag);
}

void ListenerAdmission::on_success(const ClientConnection& client, int route) {
  if (is_by_client()) limits_.admission->on_success(client.connection->tag, route);
}

// ---- Reading.

bool ListenerAdmission::try_read(ClientConnection& client, const std::function<double()>& weight) {
  if (limits_.quota == nullptr || std::exchange(client.has_read_turn, false)) return true;
  if (client.is_held_back) return false;
  const double now = net::monotonic_now();
  if (held_back_.empty() && limits_.quota->try_read(limits_.listener, now)) return true;
  counters_.add(Count::kQuotaReadsDelayed);
  client.finish_message();  // it is complete: its client owes nothing
  client.is_held_back = true;
  client.connection->pause_reading(true);
  held_back_.add(client.connection->tag, weight(), now);
  schedule_read_turns(next_read_turn_at());
  return false;
}

// The quota's next period, or the end of the longest wait.
double ListenerAdmission::next_read_turn_at() const {
  const double next_period_at = limits_.quota->next_period_at();
  const std::optional<double> oldest_since = held_back_.oldest_since();
  return oldest_since ? std::min(next_period_at, *oldest_since + kMaxHoldBackSeconds) : next_period_at;
}

void ListenerAdmission::schedule_read_turns(double time) {
  if (read_turn_timer_.number != 0) return;
  read_turn_timer_ = reactor_.at(time, [this] { give_read_turns(); });
}

// Reads at most the listener's share of a period, then sockets are served.
void ListenerAdmission::give_read_turns() {
  read_turn_timer_ = {};
  const double now = net::monotonic_now();
  const int max_turns = limits_.quota->guaranteed_messages(limits_.listener);
  for (int i = 0; i < max_turns && !held_back_.empty(); ++i) {
    const std::optional<std::uint64_t> tag = take_next_reader(now);
    if (!tag) return schedule_read_turns(next_read_turn_at());
    ClientConnection* client = find_client_(*tag);
    if (client != nullptr) give_read_turn(*client);
  }
  if (!held_back_.empty()) schedule_read_turns(now);
}

// The client that may read now: one that has waited for too long, whatever the quota, or the next one within
// the quota.
std::optional<std::uint64_t> ListenerAdmission::take_next_reader(double now) {
  const std::optional<double> oldest_since = held_back_.oldest_since();
  if (oldest_since && now >= *oldest_since + kMaxHoldBackSeconds) return held_back_.take_oldest();
  if (!limits_.quota->try_read(limits_.listener, now)) return std::nullopt;
  return held_back_.take_next();
}

// Reads one message of a client that no longer waits. If another one is complete, it is held back.
void ListenerAdmission::give_read_turn(ClientConnection& client) {
  const std::shared_ptr<net::Connection> connection = client.connection;
  client.is_held_back = false;
  client.has_read_turn = true;
  connection->deliver_buffered();
  client.has_read_turn = false;
  if (!client.is_held_back && !client.awaits_output && connection->open()) connection->pause_reading(false);
}

void ListenerAdmission::read_held_back(ClientConnection& client) {
  while (client.is_held_back && client.connection->open()) {
    held_back_.remove(client.connection->tag);
    give_read_turn(client);
  }
}

void ListenerAdmission::read_all_held_back(double seconds) {
  const double end = net::monotonic_now() + seconds;
  while (!held_back_.empty() && net::monotonic_now() < end) {
    ClientConnection* client = find_client_(*held_back_.take_next());
    if (client != nullptr) give_read_turn(*client);
  }
}

bool ListenerAdmission::is_input_too_slow(const ClientConnection& client, double now) const {
  if (!is_by_client()) return false;
  return client.input_rate.is_too_slow(now, client.connection->bytes_in(), limits_.admission->input_rate());
}

bool ListenerAdmission::is_output_too_slow(ClientConnection& client, double now) const {
  if (!is_by_client()) return false;
  const net::Connection& connection = *client.connection;
  if (connection.pending_output_bytes() > 0 && !client.output_rate.is_running())
    client.output_rate.start(now, connection.bytes_out());
  return client.output_rate.is_too_slow(now, connection.bytes_out(), limits_.admission->output_rate());
}

}  // namespace damsonspoke::peers

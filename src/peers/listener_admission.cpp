#include "peers/listener_admission.h"

#include <utility>

#include "net/lingering_close.h"

namespace damsonspoke::peers {
namespace {

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

bool ListenerAdmission::try_read(net::Connection& connection) {
  if (limits_.quota == nullptr || limits_.quota->try_read(limits_.listener, net::monotonic_now()))
    return true;
  counters_.add(Count::kQuotaReadsDelayed);
  connection.pause_reading_until(limits_.quota->next_period_at());
  return false;
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

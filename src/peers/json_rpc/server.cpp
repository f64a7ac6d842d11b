#include "peers/json_rpc/server.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "net/address.h"

namespace damsonspoke::peers {
namespace {

constexpr double kSecondsPerMs = 0.001;
constexpr char kFailedMessage[] = "failed";
constexpr std::size_t kMaxInFlightRequests = 32;       // of a connection, as the protocol allows
constexpr std::size_t kMaxOutputBytes = 256 * 1024;    // of a connection; 32 full answers take 180 KiB
constexpr std::size_t kPauseReadingBytes = 64 * 1024;  // of pending output
constexpr double kMinIdleCheckSeconds = 0.05;
constexpr double kMaxIdleCheckSeconds = 1;
constexpr double kDrainTimeoutSeconds =
    5;  // in which a client should close after it was notified of the drain
constexpr double kMaxIdleSeconds = 15;
constexpr int kMaxInvalidMessages = 16;
constexpr double kLastReadSeconds = 0.02;  // of each reading of what is held back, as the server stops
constexpr const char* kHealthMethod = "health";

}  // namespace

JsonRpcServer::JsonRpcServer(net::Reactor& reactor, const std::string& listen,
                             const catalog::Catalog& catalog, IdempotencyKeyOptions keys,
                             const ListenerLimits& limits, CallerEvents& events, Counters& counters,
                             Logger& log)
    : reactor_(reactor),
      catalog_(catalog),
      keys_(std::move(keys)),
      events_(events),
      counters_(counters),
      log_(log),
      admission_(
          reactor, limits, [this](std::uint64_t tag) { return clients_.find(tag); }, counters),
      listener_(reactor, net::parse_address(listen),
                [this](const net::Accepted& accepted) { on_accept(accepted); }) {
  if (admission_.is_by_client()) listener_.reserve_descriptor();
  admission_.register_listener(
      [this](std::uint64_t tag) { evict(tag); },
      [](double retry_after) { return wire::encode_rejection(0, retry_after / kSecondsPerMs, false); });
  check_connections();
}

JsonRpcServer::~JsonRpcServer() {
  reactor_.cancel(idle_timer_);
  reactor_.cancel(check_timer_);
}

// ---- Connections.

void JsonRpcServer::on_accept(const net::Accepted& accepted) {
  const std::uint64_t tag = next_tag_++;
  if (!admission_.admit(tag, accepted, clients_.size(), [this] { return evict_one(); })) return;
  Client& client = clients_.insert(
      tag,
      net::Connection::accepted(reactor_, *this, accepted.fd,
                                {kMaxInputBytes, kMaxOutputBytes, admission_.output_pool(tag)}),
      net::monotonic_now());
  counters_.add(Count::kCallersAccepted);
  counters_.update_max(Count::kCallersMaxOpen, clients_.size());
  if (is_draining_) announce_drain(client);
}

void JsonRpcServer::update_busy(const Client& client) {
  admission_.set_busy(client, !client.requests.empty() || client.is_held_back ||
                                  client.connection->pending_output_bytes() > 0);
}

// No request is in flight, no output is pending, and no input is unread, neither in the socket nor in the
// buffer.
bool JsonRpcServer::is_idle(const Client& client) {
  return client.requests.empty() && client.connection->pending_output_bytes() == 0 &&
         !client.is_message_incomplete() && !client.is_held_back && client.connection->nothing_to_read();
}

// Evicts an idle connection or, if there is none, the oldest silent one that has sent only a part of a
// request. So hundreds of connections without requests do not keep out clients that have some. A request
// that arrives while its connection is being closed is sent again by its client.
bool JsonRpcServer::evict_one() {
  const double now = net::monotonic_now();
  Client* evictable = clients_.find_evictable(now, is_idle);
  if (evictable == nullptr) evictable = find_stalled(now);
  if (evictable == nullptr) return false;
  admission_.evict(*evictable);
  return true;
}

// The oldest silent connection whose first request is incomplete for at least kFirstRequestGraceSeconds;
// null: there is none.
JsonRpcServer::Client* JsonRpcServer::find_stalled(double now) {
  for (const std::uint64_t tag : clients_.idle_order()) {
    Client* client = clients_.find(tag);
    if (!client->requests.empty() || !client->connection->open() || !client->is_silent(now)) continue;
    if (!client->is_message_incomplete()) continue;
    if (now - client->message_started_at >= kFirstRequestGraceSeconds) return client;
  }
  return nullptr;
}

// The connection's place was given to another one. Its unread input is read first, so that a request in it
// is answered.
void JsonRpcServer::evict(std::uint64_t tag) {
  Client* client = clients_.find(tag);
  if (client == nullptr) return;
  if (!client->has_requested) admission_.penalize(*client, conns::Penalty::kSilent);
  const std::shared_ptr<net::Connection> connection = client->connection;
  connection->read_now();
  admission_.read_held_back(*client);
  if (!connection->open()) return;
  connection->stop_reading();
  client->input_ended = true;
  close_if_done(*client);
}

// ---- Input.

std::size_t JsonRpcServer::on_input(net::Connection& connection, std::string_view bytes) {
  Client* client = clients_.find(connection.tag);
  if (client == nullptr) return bytes.size();
  std::size_t used = 0;
  while (connection.open()) {
    const wire::Frame frame = wire::next_frame(bytes.substr(used));
    if (frame.state == wire::Framing::kNeedMore) break;
    if (frame.state == wire::Framing::kBroken) {
      reject_invalid_frame(*client);
      return bytes.size();
    }
    if (!admission_.try_read(*client, [&] { return weight_of(frame.body); })) {
      update_busy(*client);
      break;
    }
    used += frame.length;
    if (!read_frame(*client, frame.body)) return bytes.size();
    if (connection.pending_output_bytes() > kPauseReadingBytes) {
      client->awaits_output = true;
      connection.pause_reading(true);
      counters_.add(Count::kCallersBytesIn, used);
      return used;
    }
  }
  if (used < bytes.size() && !client->is_held_back && !client->is_message_incomplete())
    client->start_message(net::monotonic_now(), bytes.size() - used);
  counters_.add(Count::kCallersBytesIn, used);
  return used;
}

// The weight of a message that is held back, relative to the greatest one. Health checks count as that: they
// decide whether clients use this server. What is no request counts least.
double JsonRpcServer::weight_of(std::string_view body) const {
  wire::RpcRequest message;
  if (wire::decode_request(body, message, keys_.member) != wire::RpcProblem::kNone) return 0;
  if (message.method == kHealthMethod) return 1;
  const int route = catalog_.find_route(message.method);
  return route < 0 ? 0 : catalog_.relative_priority_weight(route);
}

bool JsonRpcServer::read_frame(Client& client, std::string_view body) {
  client.finish_message();
  clients_.on_traffic(client, net::monotonic_now());
  handle_message(client, body);
  update_busy(client);
  if (client.invalid_messages < kMaxInvalidMessages) return true;
  admission_.penalize(client, conns::Penalty::kInvalidRequests);
  counters_.add(Count::kCallersInvalid);
  reject_input(client, wire::encode_error(0, wire::RpcError::kRequest, "too many of no use"));
  return false;
}

// Stops reading; requests that were read already are still answered. Unread bytes are discarded before the
// socket is closed: closing it with unread input would reset the connection and lose answers in transit.
void JsonRpcServer::reject_input(Client& client, const std::string& last_message) {
  send(client, last_message);
  client.connection->stop_reading();
  client.input_ended = true;
  close_if_done(client);
}

void JsonRpcServer::reject_invalid_frame(Client& client) {
  counters_.add(Count::kBadFrames);
  log_.debug("json_rpc", "connection {}: invalid frame, closed", client.connection->tag);
  admission_.penalize(client, conns::Penalty::kInvalidFrame);
  reject_input(client, wire::encode_error(0, wire::RpcError::kParse, "broken frame"));
}

void JsonRpcServer::on_valid_message(Client& client) {
  --client.invalid_messages;
  client.has_requested = true;
  admission_.on_request_read(client);
}

void JsonRpcServer::send_error(Client& client, std::uint64_t number, const RequestError& error) {
  counters_.add(error.counter);
  send(client, wire::encode_error(number, error.code, error.message));
}

// Every message that can be recognized as a request gets exactly one answer.
void JsonRpcServer::handle_message(Client& client, std::string_view text) {
  wire::RpcRequest message;
  const wire::RpcProblem problem = wire::decode_request(text, message, keys_.member);
  // An answer under a number that is in use would be a second one to the first request of that number.
  const bool is_number_in_use = message.has_id && client.requests.contains(message.id);
  const std::uint64_t number = message.has_id && !is_number_in_use ? message.id : 0;
  ++client.invalid_messages;  // on_valid_message() reverts this
  if (problem == wire::RpcProblem::kInvalidJson)
    return send_error(client, number, {Count::kBadJson, wire::RpcError::kParse, "no JSON"});
  if (problem == wire::RpcProblem::kInvalidRequest || !message.has_id) {
    const bool is_notification = problem == wire::RpcProblem::kNone && message.is_notification;
    if (is_notification) return counters_.add(Count::kBadRequests);  // notifications get no answer
    return send_error(client, number, {Count::kBadRequests, wire::RpcError::kRequest, "no request"});
  }
  if (is_number_in_use) return send_error(client, 0, {Count::kBadIds, wire::RpcError::kRequest, "id in use"});
  const bool has_bad_params = problem == wire::RpcProblem::kInvalidParams;
  if (client.requests.size() >= kMaxInFlightRequests) {
    counters_.add(Count::kBadTooMany);
    const bool is_request = !has_bad_params && message.method != kHealthMethod;
    return is_request ? refuse_request(client, message)
                      : send(client, wire::encode_rejection(message.id, 0, false));
  }
  if (message.method == kHealthMethod) return handle_health_check(client, message, has_bad_params);
  if (has_bad_params || !message.has_request_id || message.request_id == 0 || message.size_kb <= 0) {
    return send_error(client, message.id, {Count::kBadParams, wire::RpcError::kParams, "bad parameters"});
  }
  handle_request(client, message);
}

void JsonRpcServer::handle_health_check(Client& client, const wire::RpcRequest& message,
                                        bool has_bad_params) {
  if (has_bad_params)
    return send_error(client, message.id, {Count::kBadParams, wire::RpcError::kParams, "bad parameters"});
  counters_.add(Count::kChecksRead);
  on_valid_message(client);
  client.requests[message.id] = {};
  events_.on_health_check({client.connection->tag, message.id}, message.requires_self_test);
}

// Answers a request that exceeds the limit of its connection.
void JsonRpcServer::refuse_request(Client& client, wire::RpcRequest& message) {
  std::variant<IncomingRequest, RequestError> built = build_request(message, catalog_, keys_);
  auto* request = std::get_if<IncomingRequest>(&built);
  if (request != nullptr && request->received_at <= 0)
    request->received_at = net::unix_now() - input_age(client);
  const bool may_be_rejected = request == nullptr || events_.may_be_rejected(*request);
  send(client, may_be_rejected ? wire::encode_rejection(message.id, 0, false)
                               : wire::encode_error(message.id, wire::RpcError::kFailed, kFailedMessage));
}

void JsonRpcServer::handle_request(Client& client, wire::RpcRequest& message) {
  std::variant<IncomingRequest, RequestError> built = build_request(message, catalog_, keys_);
  if (const auto* error = std::get_if<RequestError>(&built)) return send_error(client, message.id, *error);
  auto& request = std::get<IncomingRequest>(built);
  if (events_.is_in_use(request.id))
    return send_error(client, message.id, {Count::kBadIds, wire::RpcError::kRequest, "txn in use"});
  // A client that does not say when the request arrived: no later than its bytes were read.
  if (request.received_at <= 0) request.received_at = net::unix_now() - input_age(client);
  request.reply_to = {client.connection->tag, message.id};
  on_valid_message(client);
  client.requests[message.id] = {request.id, request.route};
  events_.on_request_read(std::move(request));
}

// ---- Answers.

void JsonRpcServer::send(Client& client, const std::string& text) {
  if (!client.connection->open()) return;
  client.connection->send(text);
  if (client.connection->open()) counters_.add(Count::kCallersBytesOut, text.size());
}

void JsonRpcServer::answer(ReplyAddress reply_to, const std::string& text, bool is_success) {
  Client* client = clients_.find(reply_to.connection);
  if (client == nullptr) return;
  const auto request = client->requests.extract(reply_to.number);
  if (request.empty()) return;
  clients_.on_traffic(*client, net::monotonic_now());
  send(*client, text);
  if (is_success) admission_.on_success(*client, request.mapped().route);
  update_busy(*client);
  close_if_done(*client);
}

// Closes the connection of a client that has ended its input, once its last answer is written.
void JsonRpcServer::close_if_done(Client& client) {
  if (client.requests.empty() && client.input_ended && client.connection->pending_output_bytes() == 0)
    client.connection->close_gracefully();
}

void JsonRpcServer::answer_succeeded(ReplyAddress reply_to, std::string_view result) {
  answer(reply_to, wire::encode_result(reply_to.number, result), true);
}

void JsonRpcServer::answer_rejected(ReplyAddress reply_to, double retry_after, bool no_retry) {
  answer(reply_to, wire::encode_rejection(reply_to.number, retry_after / kSecondsPerMs, no_retry));
}

void JsonRpcServer::answer_failed(ReplyAddress reply_to, FailureReason reason) {
  const std::uint64_t number = reply_to.number;
  switch (reason) {
    case FailureReason::kFailed:
    case FailureReason::kKeyUnknown:  // these clients don't send lookups
      return answer(reply_to, wire::encode_error(number, wire::RpcError::kFailed, kFailedMessage));
    case FailureReason::kOutcomeUnknown:
      return answer(reply_to, wire::encode_error(number, wire::RpcError::kOutcomeUnknown,
                                                 "a try of this op has run; its outcome is unknown"));
    case FailureReason::kKeyConflict:
      return answer(reply_to, wire::encode_error(number, wire::RpcError::kKeyConflict,
                                                 "this key belongs to an op with another body"));
  }
}

void JsonRpcServer::answer_health_check(ReplyAddress reply_to, bool is_healthy) {
  if (is_healthy) counters_.add(Count::kChecksGood);
  answer(reply_to, wire::encode_health(reply_to.number, is_healthy));
}

void JsonRpcServer::on_output_sent(net::Connection& connection) {
  Client* client = clients_.find(connection.tag);
  if (client == nullptr) return;
  if (std::exchange(client->awaits_output, false) && !client->is_held_back) connection.pause_reading(false);
  client->output_rate.stop();
  update_busy(*client);
  close_if_done(*client);
}

// ---- The ends of connections.

void JsonRpcServer::on_end_of_input(net::Connection& connection) {
  Client* client = clients_.find(connection.tag);
  if (client == nullptr) return;
  client->input_ended = true;
  close_if_done(*client);
}

void JsonRpcServer::on_end(net::Connection& connection, net::CloseReason why) {
  if (clients_.find(connection.tag) == nullptr) return;
  const Client client = clients_.extract(connection.tag);
  admission_.on_closed(client, why);
  std::vector<RequestId> unanswered;
  for (const auto& [number, request] : client.requests) {
    if (request.id != 0) unanswered.push_back(request.id);
  }
  std::sort(unanswered.begin(), unanswered.end());
  for (const RequestId id : unanswered) events_.on_caller_disconnected(id);
}

// ---- Timeouts.

void JsonRpcServer::check_connections() {
  const double now = net::monotonic_now();
  for (auto& [tag, client] : clients_) {
    if (!client.connection->open()) continue;
    check_byte_rates(client, now);
    if (client.connection->open()) check_timeouts(client, now);
  }
  check_timer_ = reactor_.after(kConnectionCheckSeconds, [this] { check_connections(); });
}

// Closes connections of clients that send or read only a byte now and then and so never are silent.
void JsonRpcServer::check_byte_rates(Client& client, double now) {
  if (admission_.is_output_too_slow(client, now)) {
    admission_.penalize(client, conns::Penalty::kSlowTransfer);
    return client.connection->close(net::CloseReason::kOverflow);
  }
  const auto is_too_slow = [&] {
    return client.is_message_incomplete() && admission_.is_input_too_slow(client, now);
  };
  if (!is_late_after_reading(client, is_too_slow)) return;
  counters_.add(Count::kCallersIncomplete);
  admission_.penalize(client, conns::Penalty::kIncompleteRequest);
  client.finish_message();
  reject_input(client, wire::encode_error(0, wire::RpcError::kParse, "too slow"));
}

void JsonRpcServer::check_timeouts(Client& client, double now) {
  net::Connection& connection = *client.connection;
  const double idle_seconds = now - client.last_traffic_at;
  if (client.check_output_overdue(now)) {
    admission_.penalize(client, conns::Penalty::kSlowTransfer);
    connection.close(net::CloseReason::kOverflow);
  } else if (!client.has_requested && idle_seconds > kFirstRequestTimeoutSeconds && is_idle(client)) {
    counters_.add(Count::kCallersSilent);
    admission_.penalize(client, conns::Penalty::kSilent);
    connection.close_gracefully();
  } else if (is_late_after_reading(client, [&] { return client.is_message_overdue(now); })) {
    counters_.add(Count::kCallersIncomplete);
    admission_.penalize(client, conns::Penalty::kIncompleteRequest);
    client.finish_message();
    reject_input(client, wire::encode_error(0, wire::RpcError::kParse, "not whole in time"));
  } else if (client.requests.empty() && idle_seconds > kMaxIdleSeconds) {
    announce_drain(client);
    if (now - client.drain_announced_at > kDrainTimeoutSeconds && is_idle(client))
      connection.close_gracefully();
  }
}

// ---- Idle connections and the graceful shutdown.

void JsonRpcServer::announce_drain(Client& client) {
  if (client.drain_announced_at >= 0) return;
  client.drain_announced_at = net::monotonic_now();
  counters_.add(Count::kCallersDrained);
  send(client, wire::encode_drain_notice());
}

void JsonRpcServer::announce_drain() {
  is_draining_ = true;
  for (auto& [tag, client] : clients_) announce_drain(client);
}

void JsonRpcServer::set_idle_timeout(double seconds) {
  idle_timeout_seconds_ = seconds;
  reactor_.cancel(idle_timer_);
  if (seconds > 0) check_idle_clients();
}

// The clients are in the order of their last traffic, so that only idle ones are visited. A client that was
// notified of the drain closes the connection itself, so that no request is lost; the connection of one
// that does not is closed.
void JsonRpcServer::check_idle_clients() {
  const double now = net::monotonic_now();
  double next_check_seconds = idle_timeout_seconds_;
  const std::list<std::uint64_t>& order = clients_.idle_order();
  for (auto position = order.begin(); position != order.end();) {
    Client& client = *clients_.find(*position++);
    next_check_seconds = client.last_traffic_at + idle_timeout_seconds_ - now;
    if (next_check_seconds > 0) break;
    next_check_seconds = kDrainTimeoutSeconds;
    if (!client.requests.empty()) {  // it waits for an answer: moved to the end of the order
      clients_.on_traffic(client, net::monotonic_now());
    } else if (client.drain_announced_at < 0) {
      announce_drain(client);
    } else if (now - client.drain_announced_at > kDrainTimeoutSeconds && is_idle(client)) {
      client.connection->close_gracefully();
    }
  }
  const double wait = std::clamp(next_check_seconds, kMinIdleCheckSeconds, kMaxIdleCheckSeconds);
  idle_timer_ = reactor_.after(wait, [this] { check_idle_clients(); });
}

void JsonRpcServer::stop_listening() { listener_.close(); }

// Reads each connection once more. One that has a request in flight then is closed by a later call, after
// the answer.
void JsonRpcServer::close_idle_connections() {
  std::vector<std::shared_ptr<net::Connection>> connections;
  for (const auto& [tag, client] : clients_) connections.push_back(client.connection);
  for (const auto& connection : connections) connection->read_now();
  admission_.read_all_held_back(kLastReadSeconds);
  for (const auto& connection : connections) {
    const Client* client = clients_.find(connection->tag);
    if (client == nullptr || !connection->open() || client->is_held_back) continue;
    if (client->requests.empty() && connection->pending_output_bytes() == 0) connection->close_gracefully();
  }
}

}  // namespace damsonspoke::peers

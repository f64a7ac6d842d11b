#include "peers/ajp/server.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "net/address.h"
#include "peers/ajp/http_status.h"

namespace damsonspoke::peers {
namespace {

namespace wa = wire::ajp;

constexpr std::size_t kMaxOutputBytes = 160 * 1024;  // per connection; one answer of 64 KiB and its headers
constexpr std::size_t kChunkOverheadBytes = 8;       // of a packet with a part of an answer
constexpr double kMinTimeoutSeconds = 1e-6;          // 0 would mean that the client gave no timeout
constexpr double kDeadlineSlackSeconds = 0.05;  // a failure this shortly before the deadline is a timeout

std::optional<Count> counter_of(AjpRejectReason reason) {
  switch (reason) {
    case AjpRejectReason::kForbidden:
    case AjpRejectReason::kForbiddenAttribute: return Count::kAjpForbidden;
    case AjpRejectReason::kUnmappedPath:
    case AjpRejectReason::kUnmappedMethod:
    case AjpRejectReason::kInvalidPath: return Count::kAjpUnmapped;
    case AjpRejectReason::kInvalidField: return Count::kBadParams;
    case AjpRejectReason::kTooLarge: return Count::kAjpTooLarge;
    case AjpRejectReason::kAmbiguousLength:
    case AjpRejectReason::kUnsupportedEncoding: return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

AjpServer::AjpServer(net::Reactor& reactor, AjpSite site, std::uint64_t seed, const AjpOptions& options,
                     const ListenerLimits& limits, CallerEvents& events, Counters& counters, Logger& log)
    : reactor_(reactor),
      site_(std::move(site)),
      options_(options),
      events_(events),
      counters_(counters),
      log_(log),
      admission_(
          reactor, limits, [this](std::uint64_t tag) { return clients_.find(tag); }, counters),
      listener_(reactor, net::parse_address(options.listen),
                [this](const net::Accepted& accepted) { on_accept(accepted); }),
      random_(seed) {
  if (admission_.is_by_client()) listener_.reserve_descriptor();
  // AJP has no message for a client that has not sent a request.
  admission_.register_listener([this](std::uint64_t tag) { evict(tag); }, nullptr);
  check_connections();
}

AjpServer::~AjpServer() { reactor_.cancel(check_timer_); }

void AjpServer::reconfigure(const AjpOptions& options) {
  if (options.listen != options_.listen || options.packet != options_.packet ||
      options.body != options_.body || options.share != options_.share)
    log_.warn("ajp", "changes of listen, packet, body and share take effect at the next start only");
  options_.routes = options.routes;
  options_.secret = options.secret;
  options_.attributes = options.attributes;
  options_.idle = options.idle;
}

// ---- Connections.

void AjpServer::on_accept(const net::Accepted& accepted) {
  const std::uint64_t tag = next_tag_++;
  if (!admission_.admit(tag, accepted, clients_.size(), [this] { return evict_one(); })) return;
  const double now = net::monotonic_now();
  Client& client = clients_.insert(
      tag,
      net::Connection::accepted(reactor_, *this, accepted.fd,
                                {max_input_bytes(options_), kMaxOutputBytes, admission_.output_pool(tag)}),
      now);
  client.empty_at = now;
  counters_.add(Count::kAjpAccepted);
}

void AjpServer::update_busy(const Client& client) {
  const bool has_request =
      client.state == State::kInFlight || client.state == State::kClosing || client.is_held_back;
  admission_.set_busy(client, has_request || client.connection->pending_output_bytes() > 0);
}

// No request is in flight or partly read, no output is pending, and no input is unread.
bool AjpServer::is_idle(const Client& client) {
  return client.state == State::kIdle && !client.is_message_incomplete() && !client.is_held_back &&
         client.connection->pending_output_bytes() == 0 && client.connection->nothing_to_read();
}

bool AjpServer::evict_one() {
  Client* client = clients_.find_evictable(net::monotonic_now(), is_idle);
  if (client == nullptr) return false;
  admission_.evict(*client);
  return true;
}

// The connection's place was given to another one. Its unread input is read first, so that a request in it
// is answered.
void AjpServer::evict(std::uint64_t tag) {
  Client* client = clients_.find(tag);
  if (client == nullptr) return;
  if (!client->has_requested) admission_.penalize(*client, conns::Penalty::kSilent);
  const std::shared_ptr<net::Connection> connection = client->connection;
  connection->read_now();
  admission_.read_held_back(*client);
  if (!connection->open()) return;
  connection->stop_reading();
  on_end_of_input(*connection);
}

// ---- Input.

std::size_t AjpServer::on_input(net::Connection& connection, std::string_view bytes) {
  Client* client = clients_.find(connection.tag);
  if (client == nullptr) return bytes.size();
  std::size_t used = 0;
  while (connection.open() && client->state != State::kClosing) {
    if (client->state == State::kInFlight) break;  // its answer first; the rest stays in the buffer
    const std::string_view rest = bytes.substr(used);
    if (rest.empty()) break;
    const wa::Packet packet = wa::next_packet(rest, wa::From::kGateway, options_.packet);
    if (packet.state == wa::Framing::kPacket &&
        !admission_.try_read(*client, [&] { return weight_of(*client, packet.payload); })) {
      update_busy(*client);
      break;
    }
    if (!client->is_message_incomplete()) client->start_message(net::monotonic_now(), rest.size());
    if (packet.state == wa::Framing::kNeedMore) break;
    if (packet.state == wa::Framing::kBroken) {
      log_.debug("ajp", "connection {}: invalid packet, closed", connection.tag & ~kAjpTagBit);
      close_after_invalid_input(*client);
      return bytes.size();
    }
    used += packet.length;
    clients_.on_traffic(*client, net::monotonic_now());
    const bool is_valid = handle_packet(*client, packet.payload);
    update_busy(*client);
    if (!is_valid) {
      close_after_invalid_input(*client);
      return bytes.size();
    }
  }
  counters_.add(Count::kCallersBytesIn, used);
  return used;
}

// The weight of a packet that is held back, relative to the greatest one. Pings count as that: gateways close
// connections whose pings are not answered. What is no request counts least.
double AjpServer::weight_of(const Client& client, std::string_view payload) const {
  if (client.state == State::kReadingBody) return relative_weight(client.mapped);
  const std::optional<wa::FromGateway> message = wa::decode_from_gateway(payload);
  if (!message) return 0;
  if (std::holds_alternative<wa::CPing>(*message)) return 1;
  const auto* request = std::get_if<wa::ForwardRequest>(&*message);
  if (request == nullptr) return 0;
  const std::variant<MappedRequest, AjpRejection> mapped = map_request(*request, options_, site_);
  const auto* accepted = std::get_if<MappedRequest>(&mapped);
  return accepted == nullptr ? 0 : relative_weight(*accepted);
}

double AjpServer::relative_weight(const MappedRequest& mapped) const {
  if (mapped.is_health_check) return 1;
  return site_.relative_weights[static_cast<std::size_t>(mapped.request.route)];
}

// Pending output is written first: it may hold the answer to an earlier request.
void AjpServer::close_after_invalid_input(Client& client) {
  counters_.add(Count::kBadFrames);
  admission_.penalize(client, conns::Penalty::kInvalidFrame);
  close_after_output(client);
}

bool AjpServer::handle_packet(Client& client, std::string_view payload) {
  if (client.state == State::kReadingBody) {
    handle_body_chunk(client, payload);
    return true;
  }
  const std::optional<wa::FromGateway> message = wa::decode_from_gateway(payload);
  if (!message) {
    counters_.add(Count::kBadRequests);
    respond_without_request(client, http_status::kBadRequest, true);
    return true;
  }
  return handle_message(client, *message);
}

bool AjpServer::handle_message(Client& client, const wa::FromGateway& message) {
  client.has_requested = true;
  if (const auto* request = std::get_if<wa::ForwardRequest>(&message)) {
    // Only requests protect a connection from eviction, pings do not.
    admission_.on_request_read(client);
    handle_request(client, *request);
    return true;
  }
  if (std::holds_alternative<wa::Shutdown>(message)) {  // no client of this port is authorized to request it
    counters_.add(Count::kBadRequests);
    log_.warn("ajp", "shutdown request of a gateway rejected; connection closed");
    return false;
  }
  client.finish_message();
  if (std::holds_alternative<wa::CPing>(message)) {
    counters_.add(Count::kAjpPings);
    send(client, wa::CPong{});
  }
  return true;
}

void AjpServer::handle_request(Client& client, const wa::ForwardRequest& message) {
  counters_.add(Count::kAjpRequests);
  const double received_at = net::unix_now() - input_age(client);
  client.is_head_request = message.method == "HEAD";
  std::variant<MappedRequest, AjpRejection> mapped = map_request(message, options_, site_);
  if (const auto* rejection = std::get_if<AjpRejection>(&mapped)) return reject(client, *rejection);
  client.mapped = std::get<MappedRequest>(std::move(mapped));
  client.mapped.request.received_at = received_at;
  if (!client.mapped.is_chunked && client.mapped.content_length == 0) return submit(client);
  client.state = State::kReadingBody;
  if (client.mapped.is_chunked)
    request_body_chunk(client);  // gateways send the first part of other bodies unasked
}

void AjpServer::request_body_chunk(Client& client) {
  const std::size_t max_chunk = options_.packet - wa::kBodyHeaderBytes;
  const std::size_t max_body = client.mapped.is_chunked ? options_.body + 1 : client.mapped.content_length;
  const std::size_t missing = max_body - client.mapped.request.body.size();
  send(client, wa::GetBodyChunk{static_cast<std::uint16_t>(std::min(max_chunk, missing))});
}

void AjpServer::handle_body_chunk(Client& client, std::string_view payload) {
  std::string& body = client.mapped.request.body;
  const bool is_chunked = client.mapped.is_chunked;
  const std::optional<std::string_view> chunk = wa::decode_body(payload);
  const std::size_t max_body = is_chunked ? options_.body : client.mapped.content_length;
  if (!chunk || body.size() + chunk->size() > max_body) {
    const bool is_too_large = chunk && is_chunked;
    counters_.add(is_too_large ? Count::kAjpTooLarge : Count::kBadRequests);
    return respond_without_request(
        client, is_too_large ? http_status::kContentTooLarge : http_status::kBadRequest, true);
  }
  if (chunk->empty()) {
    if (is_chunked) return submit(client);
    counters_.add(Count::kBadRequests);  // the body ends before its length
    return respond_without_request(client, http_status::kBadRequest, true);
  }
  body += *chunk;
  if (!is_chunked && body.size() == client.mapped.content_length) return submit(client);
  request_body_chunk(client);
}

// The request is complete: from here on it gets exactly one answer.
void AjpServer::submit(Client& client) {
  client.state = State::kInFlight;
  client.finish_message();
  const ReplyAddress reply_to{client.connection->tag, ++client.number};
  if (client.mapped.is_health_check) {
    counters_.add(Count::kChecksRead);
    return events_.on_health_check(reply_to, false);
  }
  IncomingRequest request = std::move(client.mapped.request);
  client.route = request.route;
  do {
    request.id = random_();
  } while (request.id == 0 || events_.is_in_use(request.id));
  request.reply_to = reply_to;
  client.mapped.request = {};
  client.mapped.request.id = request.id;
  // The request counts as received once it is complete: headers from before the shutdown notice must not
  // admit a body that arrives after the grace of the drain. The client's timeout counts from the headers.
  const double arrived_at = net::unix_now() - input_age(client);
  const double timeout = request.client_timeout > 0 ? request.client_timeout
                                                    : site_.timeouts[static_cast<std::size_t>(request.route)];
  request.client_timeout = std::max(kMinTimeoutSeconds, request.received_at + timeout - arrived_at);
  request.received_at = arrived_at;
  request.arrived_earlier = std::max(0.0, client.connection->last_input_at() - client.empty_at);
  client.deadline = arrived_at + request.client_timeout;
  events_.on_request_read(std::move(request));
}

// ---- Answers.

void AjpServer::send(Client& client, const wa::FromServer& message) {
  if (!client.connection->open()) return;
  const std::string bytes = wa::encode(message);
  client.connection->send(bytes);
  if (client.connection->open()) counters_.add(Count::kCallersBytesOut, bytes.size());
}

void AjpServer::respond(Client& client, std::uint16_t status, std::vector<wa::Header> headers,
                        std::string_view body, bool can_reuse) {
  headers.push_back({"content-length", std::to_string(body.size())});
  send(client, wa::SendHeaders{status, http_status::reason_phrase(status), std::move(headers)});
  const std::size_t max_chunk = options_.packet - kChunkOverheadBytes;
  if (client.is_head_request) body = {};
  while (!body.empty()) {
    send(client, wa::SendBodyChunk{std::string(body.substr(0, max_chunk))});
    body.remove_prefix(std::min(max_chunk, body.size()));
  }
  send(client, wa::EndResponse{can_reuse});
  clients_.on_traffic(client, net::monotonic_now());
  client.finish_message();
  client.state = State::kIdle;
  if (!can_reuse) close_after_output(client);
}

void AjpServer::reject(Client& client, const AjpRejection& rejection) {
  if (const std::optional<Count> counter = counter_of(rejection.reason)) counters_.add(*counter);
  if (rejection.reason == AjpRejectReason::kForbiddenAttribute)
    log_.debug("ajp", "rejected a request attribute that is not on the list");
  respond_without_request(client, status_of(rejection.reason), rejection.body_may_follow);
}

// Answers a message that becomes no request. Where a body may still follow, nothing more is read.
void AjpServer::respond_without_request(Client& client, std::uint16_t status, bool body_may_follow) {
  counters_.add(Count::kAjpRejected);
  client.mapped = {};
  respond(client, status, {}, {}, !body_may_follow && !is_draining_);
}

void AjpServer::close_after_output(Client& client) {
  client.state = State::kClosing;
  client.connection->stop_reading();
  if (client.connection->pending_output_bytes() == 0) client.connection->close_gracefully();
}

AjpServer::Client* AjpServer::find_in_flight(ReplyAddress reply_to) {
  Client* client = clients_.find(reply_to.connection);
  if (client == nullptr) return nullptr;
  return client->state == State::kInFlight && client->number == reply_to.number ? client : nullptr;
}

void AjpServer::answer(Client& client, std::uint16_t status, std::vector<wa::Header> headers,
                       std::string_view body) {
  client.mapped = {};
  respond(client, status, std::move(headers), body, !is_draining_ && !client.input_ended);
  update_busy(client);
  if (client.state == State::kIdle && client.connection->open() && !client.is_held_back)
    client.connection->pause_reading(false);
}

void AjpServer::answer_succeeded(ReplyAddress reply_to, std::string_view result) {
  Client* client = find_in_flight(reply_to);
  if (client == nullptr) return;
  admission_.on_success(*client, client->route);
  answer(*client, http_status::kOk, {{"content-type", "application/octet-stream"}}, result);
}

void AjpServer::answer_rejected(ReplyAddress reply_to, double retry_after, bool no_retry) {
  Client* client = find_in_flight(reply_to);
  if (client == nullptr) return;
  std::vector<wa::Header> headers;
  // In whole seconds, rounded up: a client that retried any earlier would be rejected again.
  if (!no_retry && retry_after > 0)
    headers.push_back({"retry-after", std::to_string(static_cast<long>(std::ceil(retry_after)))});
  answer(*client, http_status::kServiceUnavailable, std::move(headers), {});
}

void AjpServer::answer_failed(ReplyAddress reply_to, FailureReason reason) {
  Client* client = find_in_flight(reply_to);
  if (client == nullptr) return;
  const bool is_past_deadline = net::unix_now() >= client->deadline - kDeadlineSlackSeconds;
  switch (reason) {
    case FailureReason::kOutcomeUnknown:
      return answer(*client, http_status::kInternalServerError, {{"outcome", "unknown"}}, {});
    case FailureReason::kKeyConflict: return answer(*client, http_status::kUnprocessableContent, {}, {});
    case FailureReason::kKeyUnknown:
    case FailureReason::kFailed:
      return answer(*client, is_past_deadline ? http_status::kGatewayTimeout : http_status::kBadGateway, {},
                    {});
  }
}

void AjpServer::answer_health_check(ReplyAddress reply_to, bool is_healthy) {
  if (is_healthy) counters_.add(Count::kChecksGood);
  Client* client = find_in_flight(reply_to);
  if (client != nullptr)
    answer(*client, is_healthy ? http_status::kOk : http_status::kServiceUnavailable, {}, {});
}

// ---- The ends of connections.

void AjpServer::on_output_sent(net::Connection& connection) {
  Client* client = clients_.find(connection.tag);
  if (client == nullptr) return;
  client->output_rate.stop();
  update_busy(*client);
  if (client->state == State::kClosing) connection.close_gracefully();
}

// A gateway that has ended its input still gets the answer to a complete request; an incomplete one is
// dropped.
void AjpServer::on_end_of_input(net::Connection& connection) {
  Client* client = clients_.find(connection.tag);
  if (client == nullptr) return;
  client->input_ended = true;
  if (client->state != State::kInFlight) close_after_output(*client);
}

void AjpServer::on_end(net::Connection& connection, net::CloseReason why) {
  if (clients_.find(connection.tag) == nullptr) return;
  const Client client = clients_.extract(connection.tag);
  admission_.on_closed(client, why);
  if (client.state == State::kInFlight && !client.mapped.is_health_check)
    events_.on_caller_disconnected(client.mapped.request.id);
}

// ---- Timeouts.

void AjpServer::check_connections() {
  const double now = net::monotonic_now();
  for (auto& [tag, client] : clients_) {
    if (client.connection->nothing_to_read()) client.empty_at = now;
    if (client.connection->open()) check_timeouts(client, now);
  }
  check_timer_ = reactor_.after(kConnectionCheckSeconds, [this] { check_connections(); });
}

void AjpServer::check_timeouts(Client& client, double now) {
  net::Connection& connection = *client.connection;
  if (client.check_output_overdue(now) || admission_.is_output_too_slow(client, now)) {
    admission_.penalize(client, conns::Penalty::kSlowTransfer);
    return connection.close(net::CloseReason::kOverflow);
  }
  if (client.state == State::kClosing || client.state == State::kInFlight) return;
  const auto is_input_late = [&] {
    return client.is_message_incomplete() &&
           (client.is_message_overdue(now) || admission_.is_input_too_slow(client, now));
  };
  const double idle_seconds = now - client.last_traffic_at;
  if (is_late_after_reading(client, is_input_late)) {
    counters_.add(Count::kCallersIncomplete);
    admission_.penalize(client, conns::Penalty::kIncompleteRequest);
    respond_without_request(client, http_status::kRequestTimeout, true);
  } else if (!connection.open() || !is_idle(client)) {
    return;  // unread input is read first
  } else if (!client.has_requested && idle_seconds > kFirstRequestTimeoutSeconds) {
    counters_.add(Count::kCallersSilent);
    admission_.penalize(client, conns::Penalty::kSilent);
    connection.close_gracefully();
  } else if (idle_seconds > options_.idle) {
    connection.close_gracefully();
  }
}

// ---- The graceful shutdown.

// AJP has no message for this: idle connections are closed at once, the others after their answer. Unread
// input is read first.
void AjpServer::announce_drain() {
  is_draining_ = true;
  for (auto& [tag, client] : clients_) {
    if (client.connection->open() && is_idle(client)) client.connection->close_gracefully();
  }
}

}  // namespace damsonspoke::peers

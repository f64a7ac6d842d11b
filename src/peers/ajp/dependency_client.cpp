#include "peers/ajp/dependency_client.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <variant>

#include "net/address.h"
#include "peers/ajp/http_status.h"
#include "peers/dependency/call_counters.h"

namespace damsonspoke::peers {
namespace {

namespace wa = wire::ajp;

constexpr double kMsPerSecond = 1000;
constexpr double kPingTimeoutSeconds = 0.2;
constexpr double kReplyTimeoutSeconds = 0.5;  // from an answer's headers until it is complete
constexpr double kIdleCheckSeconds = 0.5;
constexpr double kMaxIdleSeconds = 10;
constexpr double kMinTimeoutSeconds = 0.005;  // a call with less time left is not sent
constexpr std::uint16_t kHttpPort = 80;

}  // namespace

AjpDependencyClient::AjpDependencyClient(net::Reactor& reactor, const AjpOptions& options,
                                         std::size_t max_links, DependencyEvents& events, Counters& counters,
                                         Logger& log)
    : reactor_(reactor),
      options_(options),
      max_links_(max_links),
      events_(events),
      counters_(counters),
      log_(log) {
  net::parse_address(options_.dependency);  // throws at the start, not at the first call
  close_idle_links();
}

AjpDependencyClient::~AjpDependencyClient() {
  reactor_.cancel(idle_timer_);
  for (auto& [tag, link] : links_) reactor_.cancel(link.reply_timer);
  for (auto& [id, call] : calls_) reactor_.cancel(call.timeout_timer);
}

void AjpDependencyClient::move_to(const AjpOptions& options) {
  const bool has_moved = options.dependency != options_.dependency;
  options_.dependency = options.dependency;
  options_.dependency_path = options.dependency_path;
  options_.dependency_secret = options.dependency_secret;
  options_.dependency_refusal_is_proof = options.dependency_refusal_is_proof;
  if (!has_moved) return;
  for (auto& [tag, link] : links_) {
    link.is_retired = true;
    if (link.call == 0) link.connection->close();
  }
}

// ---- Calls.

void AjpDependencyClient::call(RequestId id, double timeout, std::string_view body) {
  cancel(id);  // a request has one call at a time
  counters_.add(Count::kCallsMade);
  Call& call = calls_[id];
  call.started_at = net::monotonic_now();
  call.deadline = call.started_at + timeout;
  call.body = body;
  // A call that was never sent can't have run.
  call.timeout_timer = reactor_.at(call.deadline, [this, id] {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    finish_call(id, found->second.may_be_sent ? Outcome::kTimeout : Outcome::kUnreachable, {});
  });
  waiting_.push_back(id);
  dispatch_waiting();
}

void AjpDependencyClient::dispatch_waiting() {
  while (!waiting_.empty()) {
    const std::uint64_t tag = find_or_open_link();
    if (tag == 0) return;
    const RequestId id = waiting_.front();
    waiting_.pop_front();
    assign(tag, id);
  }
}

// The idle link that was used last, otherwise a new one; 0: all are in use.
std::uint64_t AjpDependencyClient::find_or_open_link() {
  std::uint64_t last_used = 0;
  double idle_since = 0;
  std::size_t usable = 0;
  for (auto& [tag, link] : links_) {
    if (link.is_retired || !link.connection->open()) continue;
    ++usable;
    if (link.state != State::kIdle || link.call != 0 || link.idle_since < idle_since) continue;
    last_used = tag;
    idle_since = link.idle_since;
  }
  if (last_used != 0) return last_used;
  if (usable >= max_links_) return 0;
  const std::uint64_t tag = next_tag_++;
  Link& link = links_[tag];
  link.connection = net::Connection::connecting(reactor_, *this, net::parse_address(options_.dependency),
                                                {max_input_bytes(options_), kMaxOutputBytes});
  link.connection->tag = tag;
  return tag;
}

void AjpDependencyClient::assign(std::uint64_t tag, RequestId id) {
  Link& link = links_.at(tag);
  link.call = id;
  calls_.at(id).link = tag;
  if (link.state == State::kConnecting) return;  // sent once it is connected
  // AJP has no ids: what else the server has sent after the last answer, for example a second copy of it,
  // would be taken for the answer to this call. All of that arrives before the pong. The ping also checks
  // whether the server has dropped the link: a call that fails for that reason would not prove that it never
  // ran.
  link.state = State::kPinging;
  link.connection->send(wa::encode(wa::FromGateway(wa::CPing{})));
  start_reply_timer(tag, kPingTimeoutSeconds);
}

wa::ForwardRequest AjpDependencyClient::request_of(const Call& call, double timeout) const {
  wa::ForwardRequest request;
  request.method = "POST";
  request.protocol = "HTTP/1.1";
  request.uri = options_.dependency_path;
  request.remote_address = "localhost";
  request.server_name = "localhost";
  request.server_port = kHttpPort;
  const auto timeout_ms = static_cast<long>(std::ceil(timeout * kMsPerSecond));
  request.headers = {{"content-length", std::to_string(call.body.size())},
                     {"x-wait-ms", std::to_string(timeout_ms)}};
  if (!options_.dependency_secret.empty())
    request.attributes.push_back({wa::Attribute::kSecret, "", options_.dependency_secret, 0});
  return request;
}

void AjpDependencyClient::send_call(Link& link) {
  Call& call = calls_.at(link.call);
  const double timeout = call.deadline - net::monotonic_now();
  if (timeout < kMinTimeoutSeconds) return;  // the timeout ends the call, unsent
  link.state = State::kCalling;
  link.has_head = false;
  link.status = 0;
  link.reply.clear();
  call.may_be_sent = true;
  std::string bytes = wa::encode(wa::FromGateway(request_of(call, timeout)));
  const std::size_t max_chunk = options_.packet - wa::kBodyHeaderBytes;
  std::string_view rest = call.body;
  while (!rest.empty()) {
    bytes += wa::encode_body(rest.substr(0, max_chunk));
    rest.remove_prefix(std::min(max_chunk, rest.size()));
  }
  link.connection->send(bytes);
}

void AjpDependencyClient::cancel(RequestId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  counters_.add(Count::kCallsCancelled);
  reactor_.cancel(found->second.timeout_timer);
  const std::uint64_t tag = found->second.link;
  calls_.erase(found);
  std::erase(waiting_, id);
  const auto link = links_.find(tag);
  if (link != links_.end()) close_abandoned(link->second);
  dispatch_waiting();
}

// The answer to a call that was given up may still arrive, so its link can't be used again.
void AjpDependencyClient::close_abandoned(Link& link) {
  link.call = 0;
  link.is_retired = true;
  reactor_.cancel(link.reply_timer);
  link.connection->close();
}

void AjpDependencyClient::finish_call(RequestId id, Outcome outcome, std::string_view reply) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const double call_seconds = net::monotonic_now() - found->second.started_at;
  const std::uint64_t tag = found->second.link;
  reactor_.cancel(found->second.timeout_timer);
  calls_.erase(found);
  std::erase(waiting_, id);
  const auto link = links_.find(tag);
  if (link != links_.end() && link->second.call == id) close_abandoned(link->second);
  counters_.add(counter_of(outcome));
  events_.on_call_ended(id, outcome, call_seconds, reply);
  dispatch_waiting();
}

// ---- Messages from the dependency, and the timeout for them.

void AjpDependencyClient::start_reply_timer(std::uint64_t tag, double seconds) {
  Link& link = links_.at(tag);
  reactor_.cancel(link.reply_timer);
  link.reply_timer = reactor_.after(seconds, [this, tag] {
    const auto found = links_.find(tag);
    if (found == links_.end()) return;
    if (found->second.state != State::kPinging) return close_broken(found->second, "incomplete answer");
    log_.info("dependency", "AJP ping not answered; connection closed");
    found->second.is_retired = true;
    found->second.connection->close(net::CloseReason::kBroken);
  });
}

// Closes the link after an invalid or incomplete message, because the input after it can't be interpreted.
void AjpDependencyClient::close_broken(Link& link, std::string_view reason) {
  counters_.add(Count::kDependencyInvalid);
  log_.warn("dependency", "{}; AJP connection to the dependency closed", reason);
  link.is_retired = true;
  link.connection->close(net::CloseReason::kBroken);
}

void AjpDependencyClient::on_connected(net::Connection& connection) {
  counters_.add(Count::kDependencyConnections);
  counters_.update_max(Count::kDependencyMaxOpen, links_.size());
  Link& link = links_.at(connection.tag);
  link.state = State::kIdle;
  link.idle_since = net::monotonic_now();
  if (link.call != 0) send_call(link);
}

std::size_t AjpDependencyClient::on_input(net::Connection& connection, std::string_view bytes) {
  const auto found = links_.find(connection.tag);
  if (found == links_.end()) return bytes.size();
  std::size_t used = 0;
  while (connection.open() && used < bytes.size()) {
    const wa::Packet packet = wa::next_packet(bytes.substr(used), wa::From::kServer, options_.packet);
    if (packet.state == wa::Framing::kNeedMore) break;
    const auto message =
        packet.state == wa::Framing::kPacket ? wa::decode_from_server(packet.payload) : std::nullopt;
    used += packet.length;
    const bool is_last_input = used == bytes.size() && connection.nothing_to_read();
    if (!message || !handle_message(connection.tag, *message, is_last_input)) {
      if (connection.open()) close_broken(found->second, "invalid answer");
      return bytes.size();
    }
  }
  return connection.open() ? used : bytes.size();
}

// The server answers one message at a time, so nothing may follow a pong: it would be taken for the answer to
// the call. A call that was not sent moves to another link.
bool AjpDependencyClient::handle_pong(Link& link, bool is_last_input) {
  if (link.state != State::kPinging || !is_last_input) return false;
  reactor_.cancel(link.reply_timer);
  link.state = State::kIdle;
  link.idle_since = net::monotonic_now();
  if (link.call != 0) send_call(link);
  return true;
}

bool AjpDependencyClient::handle_head(std::uint64_t tag, const wa::SendHeaders& head) {
  Link& link = links_.at(tag);
  if (link.has_head) return false;
  link.has_head = true;
  link.status = head.status;
  start_reply_timer(tag, kReplyTimeoutSeconds);
  return true;
}

bool AjpDependencyClient::handle_message(std::uint64_t tag, const wa::FromServer& message,
                                         bool is_last_input) {
  Link& link = links_.at(tag);
  if (std::holds_alternative<wa::CPong>(message)) return handle_pong(link, is_last_input);
  if (link.state != State::kCalling) return false;  // no call is in flight, or the answer has ended
  if (const auto* head = std::get_if<wa::SendHeaders>(&message)) return handle_head(tag, *head);
  if (const auto* chunk = std::get_if<wa::SendBodyChunk>(&message)) {
    if (!link.has_head || link.reply.size() + chunk->piece.size() > kMaxReplyBytes) return false;
    link.reply += chunk->piece;
    return true;
  }
  if (std::holds_alternative<wa::GetBodyChunk>(message)) {  // the complete body was sent
    link.connection->send(wa::encode_body_end());
    return true;
  }
  if (!link.has_head) return false;
  // Input that follows the answer, or output that the server answered without waiting for it, leaves the link
  // in an unknown state. It has to be closed before this call ends, which may begin the next one.
  if (!is_last_input && !link.connection->peer_has_closed()) {
    counters_.add(Count::kDependencyInvalid);
    log_.warn("dependency", "input after a complete answer; AJP connection to the dependency closed");
  }
  const bool is_in_step = is_last_input && link.connection->pending_output_bytes() == 0;
  finish_reply(tag, std::get<wa::EndResponse>(message).reuse && is_in_step);
  return true;
}

void AjpDependencyClient::finish_reply(std::uint64_t tag, bool can_reuse) {
  Link& link = links_.at(tag);
  reactor_.cancel(link.reply_timer);
  const RequestId id = std::exchange(link.call, 0);
  const int status = link.status;
  const std::string reply = std::exchange(link.reply, {});
  link.state = State::kIdle;
  link.idle_since = net::monotonic_now();
  if (!can_reuse) {
    link.is_retired = true;
    link.connection->close();
  }
  if (status == http_status::kOk) return finish_call(id, Outcome::kOk, reply);
  const bool is_rejected = status == http_status::kServiceUnavailable && options_.dependency_refusal_is_proof;
  finish_call(id, is_rejected ? Outcome::kRejected : Outcome::kError, {});
}

void AjpDependencyClient::on_end_of_input(net::Connection& connection) {
  connection.close(net::CloseReason::kBroken);
}

// A call that was sent may have run. One that was not sent moves to another link while there is time,
// unless this link could not be connected: the next one would fail as well.
void AjpDependencyClient::on_end(net::Connection& connection, net::CloseReason why) {
  const auto found = links_.find(connection.tag);
  if (found == links_.end()) return;
  const RequestId id = found->second.call;
  reactor_.cancel(found->second.reply_timer);
  links_.erase(found);
  const auto call = calls_.find(id);
  if (id == 0 || call == calls_.end()) return dispatch_waiting();
  if (call->second.may_be_sent) {
    counters_.add(Count::kDependencyBroken);
    log_.warn("dependency", "AJP connection lost with a call in flight");
    return finish_call(id, Outcome::kReset, {});
  }
  if (why == net::CloseReason::kRefused) return finish_call(id, Outcome::kUnreachable, {});
  call->second.link = 0;
  waiting_.push_front(id);
  dispatch_waiting();
}

void AjpDependencyClient::close_idle_links() {
  const double now = net::monotonic_now();
  for (auto& [tag, link] : links_) {
    const bool is_idle = link.state == State::kIdle && link.call == 0;
    if (is_idle && now - link.idle_since > kMaxIdleSeconds) link.connection->close();
  }
  idle_timer_ = reactor_.after(kIdleCheckSeconds, [this] { close_idle_links(); });
}

}  // namespace damsonspoke::peers

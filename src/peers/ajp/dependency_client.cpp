#include "peers/ajp/dependency_client.h"

#include <algorithm>
#include <cmath>

#include "net/address.h"

namespace damsonspoke::peers {
namespace {

namespace wa = wire::ajp;

constexpr double kMsPerSecond = 1000;
constexpr double kFresh = 0.5;     // s without a call after which a connection is asked whether it is alive
constexpr double kPong = 0.2;      // s for the answer to that
constexpr double kWhole = 0.5;     // s for the rest of an answer that has begun
constexpr double kIdleLook = 0.5;  // s; between looks
constexpr double kMostIdle = 10;   // s; then it is closed: servers forget theirs
constexpr double kLeastLeft = 0.005;  // s; a call with less is not begun

}  // namespace

AjpDependencyClient::AjpDependencyClient(net::Reactor& reactor, const AjpOptions& options,
                                         std::size_t most_links, DependencyEvents& events, Counters& counters,
                                         Logger& log)
    : reactor_(reactor),
      options_(options),
      most_links_(most_links),
      events_(events),
      counters_(counters),
      log_(log) {
  net::parse_address(options_.dependency);  // a wrong one is told at the start
  look_for_idle();
}

AjpDependencyClient::~AjpDependencyClient() {
  reactor_.cancel(idle_timer_);
  for (auto& [tag, link] : links_) reactor_.cancel(link.rest);
  for (auto& [id, call] : calls_) reactor_.cancel(call.patience);
}

void AjpDependencyClient::move_to(const AjpOptions& options) {
  const bool elsewhere = options.dependency != options_.dependency;
  options_.dependency = options.dependency;
  options_.dependency_path = options.dependency_path;
  options_.dependency_secret = options.dependency_secret;
  options_.dependency_refusal_is_proof = options.dependency_refusal_is_proof;
  if (!elsewhere) return;
  for (auto& [tag, link] : links_) {
    link.spent = true;
    if (link.call == 0) link.connection->close();
  }
}

// ---- Calls.
void AjpDependencyClient::call(RequestId id, double patience, std::string_view body) {
  cancel(id);  // one call a request at a time
  counters_.add(Count::kCallsMade);
  Call& call = calls_[id];
  call.since = net::monotonic_now();
  call.until = call.since + patience;
  call.body = body;
  // On a link that never carried it, its end proves that it did not run.
  call.patience = reactor_.at(call.until, [this, id] {
    const auto found = calls_.find(id);
    if (found != calls_.end()) end(id, found->second.sent ? Outcome::kTimeout : Outcome::kUnreachable, {});
  });
  waiting_.push_back(id);
  pump();
}

// Calls that wait get links: one that has just been used, else a new one, else one that has been idle, once
// it has answered a ping.
void AjpDependencyClient::pump() {
  while (!waiting_.empty()) {
    std::uint64_t fresh = 0, old = 0;
    std::size_t usable = 0;
    const double now = net::monotonic_now();
    for (auto& [tag, link] : links_) {
      if (link.spent || !link.connection->open()) continue;
      ++usable;
      if (link.state != State::kIdle || link.call != 0) continue;
      (now - link.idle_since <= kFresh ? fresh : old) = tag;
    }
    std::uint64_t tag = fresh != 0 ? fresh : old;
    if (tag == 0) {
      if (usable >= most_links_) return;
      tag = next_tag_++;
      Link& link = links_[tag];
      link.connection = net::Connection::connecting(reactor_, *this, net::parse_address(options_.dependency),
                                                    {most_input(options_), kMostOutput});
      link.connection->tag = tag;
    }
    const RequestId id = waiting_.front();
    waiting_.pop_front();
    give(tag, id);
  }
}

void AjpDependencyClient::give(std::uint64_t tag, RequestId id) {
  Link& link = links_.at(tag);
  link.call = id;
  calls_.at(id).link = tag;
  if (link.state == State::kConnecting) return;  // sent once it is made
  if (net::monotonic_now() - link.idle_since <= kFresh && link.connection->nothing_to_read())
    return send_call(link);
  // It stood idle: the server may have closed or forgotten it, and a call that meets that proves nothing.
  link.state = State::kPinging;
  link.connection->send(wa::encode(wa::FromGateway(wa::CPing{})));
  must_be_whole(tag, kPong);
}

void AjpDependencyClient::send_call(Link& link) {
  Call& call = calls_.at(link.call);
  const double left = call.until - net::monotonic_now();
  if (left < kLeastLeft) return;  // its patience ends it, unsent
  wa::ForwardRequest request;
  request.method = "POST";
  request.protocol = "HTTP/1.1";
  request.uri = options_.dependency_path;
  request.remote_address = request.server_name = "localhost";
  request.server_port = 80;
  request.headers = {{"content-length", std::to_string(call.body.size())},
                     {"x-wait-ms", std::to_string(static_cast<long>(std::ceil(left * kMsPerSecond)))}};
  if (!options_.dependency_secret.empty())
    request.attributes.push_back({wa::Attribute::kSecret, "", options_.dependency_secret, 0});
  link.state = State::kCalling;
  link.headed = false;
  link.status = 0;
  link.reply.clear();
  call.sent = true;
  std::string bytes = wa::encode(wa::FromGateway(std::move(request)));
  const std::size_t piece = options_.packet - wa::kBodyHead;
  for (std::string_view rest = call.body; !rest.empty(); rest.remove_prefix(std::min(piece, rest.size())))
    bytes += wa::encode_body(rest.substr(0, piece));
  link.connection->send(bytes);
}

void AjpDependencyClient::cancel(RequestId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  counters_.add(Count::kCallsCancelled);
  reactor_.cancel(found->second.patience);
  const std::uint64_t tag = found->second.link;
  calls_.erase(found);
  std::erase(waiting_, id);
  const auto link = links_.find(tag);
  if (link != links_.end()) end_link(link->second);
  pump();
}

// A call that was given up takes its connection with it: its answer may yet come.
void AjpDependencyClient::end_link(Link& link) {
  link.call = 0;
  link.spent = true;
  reactor_.cancel(link.rest);
  link.connection->close();
}

void AjpDependencyClient::end(RequestId id, Outcome outcome, std::string_view reply) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const double spent = net::monotonic_now() - found->second.since;
  const std::uint64_t tag = found->second.link;
  reactor_.cancel(found->second.patience);
  calls_.erase(found);
  std::erase(waiting_, id);
  const auto link = links_.find(tag);
  if (link != links_.end() && link->second.call == id) end_link(link->second);
  switch (outcome) {
    case Outcome::kOk: counters_.add(Count::kCallsOk); break;
    case Outcome::kRefused: counters_.add(Count::kCallsRefused); break;
    case Outcome::kTimeout: counters_.add(Count::kCallsTimedOut); break;
    case Outcome::kUnreachable: counters_.add(Count::kCallsUnreachable); break;
    case Outcome::kReset: counters_.add(Count::kCallsBroken); break;
    default: counters_.add(Count::kCallsFailed);
  }
  events_.on_call_ended(id, outcome, spent, reply);
  pump();
}

// ---- What servers send.
void AjpDependencyClient::must_be_whole(std::uint64_t tag, double seconds) {
  Link& link = links_.at(tag);
  reactor_.cancel(link.rest);
  link.rest = reactor_.after(seconds, [this, tag] {
    const auto found = links_.find(tag);
    if (found == links_.end()) return;
    if (found->second.state != State::kPinging) return spoilt(found->second, "an answer that does not end");
    log_.info("below", "a ping is not answered, connection closed");
    found->second.spent = true;
    found->second.connection->close(net::End::kBroken);
  });
}

// Nothing on that connection is to be believed any more.
void AjpDependencyClient::spoilt(Link& link, const char* what) {
  counters_.add(Count::kBelowBad);
  log_.warn("below", "{}, connection closed", what);
  link.spent = true;
  link.connection->close(net::End::kBroken);
}

void AjpDependencyClient::on_connected(net::Connection& connection) {
  counters_.add(Count::kBelowLinks);
  counters_.most(Count::kBelowMost, links_.size());
  Link& link = links_.at(connection.tag);
  link.state = State::kIdle;
  link.idle_since = net::monotonic_now();
  if (link.call != 0) send_call(link);
}

std::size_t AjpDependencyClient::on_input(net::Connection& connection, std::string_view bytes) {
  const auto at = links_.find(connection.tag);
  if (at == links_.end()) return bytes.size();
  std::size_t used = 0;
  while (connection.open() && used < bytes.size()) {
    const wa::Packet packet = wa::next_packet(bytes.substr(used), wa::From::kServer, options_.packet);
    if (packet.state == wa::Framing::kNeedMore) break;
    const auto message =
        packet.state == wa::Framing::kPacket ? wa::decode_from_server(packet.payload) : std::nullopt;
    if (!message || !take(connection.tag, *message)) {
      if (connection.open()) spoilt(at->second, "an answer that can't be read");
      return bytes.size();
    }
    used += packet.length;
  }
  return used;
}

// False: what has no place there.
bool AjpDependencyClient::take(std::uint64_t tag, const wa::FromServer& message) {
  Link& link = links_.at(tag);
  if (std::holds_alternative<wa::CPong>(message)) {
    if (link.state != State::kPinging) return false;
    reactor_.cancel(link.rest);
    link.state = State::kIdle;
    link.idle_since = net::monotonic_now();
    if (link.call != 0) send_call(link);
    return true;
  }
  if (link.state != State::kCalling) return false;  // an answer to nothing, or a second end
  if (const auto* head = std::get_if<wa::SendHeaders>(&message)) {
    if (link.headed) return false;
    link.headed = true;
    link.status = head->status;
    must_be_whole(tag, kWhole);
    return true;
  }
  if (const auto* chunk = std::get_if<wa::SendBodyChunk>(&message)) {
    if (!link.headed || link.reply.size() + chunk->piece.size() > kMostReply) return false;
    link.reply += chunk->piece;
    return true;
  }
  if (std::holds_alternative<wa::GetBodyChunk>(message)) {  // all of it was sent
    link.connection->send(wa::encode_body_end());
    return true;
  }
  if (!link.headed) return false;
  answered(tag, std::get<wa::EndResponse>(message).reuse);
  return true;
}

void AjpDependencyClient::answered(std::uint64_t tag, bool reuse) {
  Link& link = links_.at(tag);
  reactor_.cancel(link.rest);
  const RequestId id = std::exchange(link.call, 0);
  const int status = link.status;
  const std::string reply = std::move(link.reply);
  link.reply = {};
  link.state = State::kIdle;
  link.idle_since = net::monotonic_now();
  if (!reuse) {
    link.spent = true;
    link.connection->close();
  }
  const bool turned_away = status == 503 && options_.dependency_refusal_is_proof;
  end(id,
      status == 200 ? Outcome::kOk
      : turned_away ? Outcome::kRefused
                    : Outcome::kError,
      status == 200 ? std::string_view(reply) : std::string_view());
}

void AjpDependencyClient::on_end_of_input(net::Connection& connection) {
  connection.close(net::End::kBroken);
}

// What was sent may have run. What was not goes to another connection while there is time, unless this one
// could not be made: the next would fare no better.
void AjpDependencyClient::on_end(net::Connection& connection, net::End why) {
  const auto found = links_.find(connection.tag);
  if (found == links_.end()) return;
  const RequestId id = found->second.call;
  reactor_.cancel(found->second.rest);
  links_.erase(found);
  const auto call = calls_.find(id);
  if (id == 0 || call == calls_.end()) return pump();
  if (call->second.sent) {
    counters_.add(Count::kBelowBroken);
    log_.warn("below", "connection lost with a call in hand");
    return end(id, Outcome::kReset, {});
  }
  if (why == net::End::kRefused) return end(id, Outcome::kUnreachable, {});
  call->second.link = 0;
  waiting_.push_front(id);
  pump();
}

void AjpDependencyClient::look_for_idle() {
  const double now = net::monotonic_now();
  for (auto& [tag, link] : links_) {
    if (link.state == State::kIdle && link.call == 0 && now - link.idle_since > kMostIdle)
      link.connection->close();
  }
  idle_timer_ = reactor_.after(kIdleLook, [this] { look_for_idle(); });
}

}  // namespace damsonspoke::peers

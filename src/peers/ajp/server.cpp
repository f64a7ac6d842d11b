#include "peers/ajp/server.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "net/address.h"
#include "net/lingering_close.h"

namespace damsonspoke::peers {
namespace {

namespace wa = wire::ajp;

constexpr std::size_t kOutputBytes =
    160 * 1024;                          // a connection; one answer of 64 KiB in pieces, and its head
constexpr std::size_t kChunkHead = 8;    // of a packet with a piece of an answer: its fields and a NUL
constexpr double kLookOver = 0.25;       // s; between looks at all connections
constexpr double kFirstRequest = 2;      // s from accepting until something whole must have come
constexpr double kWholeRequest = 1.5;    // s from its first byte until a request and its body must be whole
constexpr double kTakeOutput = 5;        // s in which a caller must have taken what waits for it
constexpr double kSilent = 0.1;          // s without a request; in a full table it goes first
constexpr double kMostWait = 24 * 3600;  // s; nobody waits longer than a day
constexpr double kLeastWait = 1e-6;      // s; of a wait that is over: 0 would say that none was told
constexpr double kMsPerSecond = 1000;
constexpr double kAtDue = 0.05;  // s before its due time a failure is told to be for want of time

const char* reason_of(std::uint16_t status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 403: return "Forbidden";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 413: return "Content Too Large";
    case 422: return "Unprocessable Content";
    case 500: return "Internal Server Error";
    case 501: return "Not Implemented";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Status";
  }
}

// As long whatever the difference: how much of a guess was right is not told by the time that it takes.
bool same_secret(std::string_view a, std::string_view b) {
  unsigned difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t i = 0; i < a.size(); ++i)
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b.empty() ? 0 : b[i % b.size()]);
  return difference == 0;
}

template <class Number>
bool whole_number(std::string_view text, Number& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc() && end == text.data() + text.size() && !text.empty() && text[0] != '-';
}

std::optional<std::string_view> value_of(const AjpSource& source, const std::vector<std::string_view>& stars,
                                         const wa::ForwardRequest& request) {
  switch (source.from) {
    case AjpSource::From::kNowhere: break;
    case AjpSource::From::kHeader:
      if (const std::string* value = request.header(source.name)) return *value;
      break;
    case AjpSource::From::kQuery:
      if (const wa::Attribute* query = request.attribute(wa::Attribute::kQueryString))
        return query_field(query->value, source.name);
      break;
    case AjpSource::From::kPath:
      if (static_cast<std::size_t>(source.star) <= stars.size())
        return stars[static_cast<std::size_t>(source.star) - 1];
      break;
  }
  return std::nullopt;
}

bool has_body(const wa::ForwardRequest& request) {
  const std::string* length = request.header("content-length");
  return request.header("transfer-encoding") != nullptr || (length != nullptr && *length != "0");
}

}  // namespace

AjpServer::AjpServer(net::Reactor& reactor, Self self, const AjpOptions& options, std::size_t output_bytes,
                     conns::ConnectionQuota& share, std::size_t front, CallerEvents& events,
                     Counters& counters, Logger& log, ConnectionAdmission* door)
    : reactor_(reactor),
      self_(std::move(self)),
      options_(options),
      share_(share),
      front_(front),
      door_(door),
      events_(events),
      counters_(counters),
      log_(log),
      output_{output_bytes, 0},
      listener_(reactor, net::parse_address(options.listen),
                [this](const net::Accepted& one) { on_accept(one); }),
      random_(self_.seed) {
  if (door_ != nullptr) {
    listener_.keep_reserve();
    door_->register_listener(
        front_, output_,
        [this](std::uint64_t tag) {
          const auto found = open_.find(tag);
          if (found == open_.end()) return;
          if (!found->second.has_asked) wasted(found->second, conns::Penalty::kSilent);
          let_go(found->second);
        },
        nullptr);  // AJP has no word for who has not asked
  }
  look_over();
}

AjpServer::~AjpServer() { reactor_.cancel(look_timer_); }

void AjpServer::reconfigure(const AjpOptions& options) {
  if (options.listen != options_.listen || options.packet != options_.packet ||
      options.body != options_.body || options.share != options_.share)
    log_.warn("ajp", "listen, packet, body and share are taken at the next start only");
  options_.routes = options.routes;
  options_.secret = options.secret;
  options_.attributes = options.attributes;
  options_.idle = options.idle;
}

// ---- Connections.
bool AjpServer::take_in(std::uint64_t tag, const net::Accepted& accepted) {
  if (door_ != nullptr) return door_->admit(front_, tag, accepted);
  if (share_.has_capacity(front_) || make_room()) return share_.on_opened(front_), true;
  counters_.add(Count::kCallersTurnedAway);
  net::LingeringClose::begin(reactor_, accepted.fd);
  return false;
}

void AjpServer::on_accept(const net::Accepted& accepted) {
  const std::uint64_t tag = next_tag_++;
  if (!take_in(tag, accepted)) return;
  net::OutputPool* pool = door_ != nullptr ? door_->output_pool(tag) : &output_;
  Caller& caller = open_[tag];
  caller.connection =
      net::Connection::accepted(reactor_, *this, accepted.fd, {most_input(options_), kOutputBytes, pool});
  caller.connection->tag = tag;
  caller.last_traffic = net::monotonic_now();
  caller.place = by_traffic_.insert(by_traffic_.end(), tag);
  counters_.add(Count::kAjpAccepted);
}

// ---- What the door hears of a connection.
void AjpServer::wasted(Caller& caller, conns::Penalty how) {
  if (door_ != nullptr) door_->penalize(caller.connection->tag, how);
}
void AjpServer::note_busy(Caller& caller) {
  if (door_ == nullptr || !caller.connection->open()) return;
  const bool busy = caller.state == State::kOpen || caller.state == State::kClosing;
  door_->set_busy(caller.connection->tag, busy || caller.connection->waiting() > 0);
}

// Nothing is open, begun, unwritten or unread on it.
bool AjpServer::nothing_owed(const Caller& caller) const {
  return caller.state == State::kIdle && caller.began < 0 && caller.connection->waiting() == 0 &&
         caller.connection->nothing_to_read();
}

// As at the other front: its place is another's, but what it has said is read first, and answered before the
// end.
void AjpServer::let_go(Caller& caller) {
  const auto connection = caller.connection;
  connection->read_now();
  if (!connection->open()) return;
  connection->stop_reading();
  on_end_of_input(*connection);
}

// As at the other front: silent ones first, the oldest of them, then the longest idle one.
bool AjpServer::make_room() {
  const double now = net::monotonic_now();
  Caller* idle = nullptr;
  for (const std::uint64_t tag : by_traffic_) {
    Caller& caller = open_.at(tag);
    if (!caller.connection->open()) continue;
    const bool silent = !caller.has_asked && now - caller.last_traffic >= kSilent;
    if ((idle && !silent) || !nothing_owed(caller)) continue;
    idle = &caller;
    if (silent) break;
  }
  if (!idle) return false;
  counters_.add(Count::kCallersEvicted);
  idle->connection->end();
  share_.on_closed(front_);
  idle->evicted = true;
  return true;
}

std::size_t AjpServer::on_input(net::Connection& connection, std::string_view bytes) {
  const auto found = open_.find(connection.tag);
  if (found == open_.end()) return bytes.size();
  Caller& caller = found->second;
  std::size_t used = 0;
  while (connection.open() && caller.state != State::kClosing) {
    if (caller.state == State::kOpen) break;  // its answer first; the rest waits where it is
    const std::string_view rest = bytes.substr(used);
    if (rest.empty()) break;
    if (caller.began < 0) {
      caller.began = net::monotonic_now();
      caller.input_rate.start(caller.began, connection.bytes_in() - rest.size());
    }
    const wa::Packet packet = wa::next_packet(rest, wa::From::kGateway, options_.packet);
    if (packet.state == wa::Framing::kNeedMore) break;
    if (packet.state == wa::Framing::kBroken) {
      counters_.add(Count::kBadFrames);
      wasted(caller, conns::Penalty::kInvalidFrame);
      log_.debug("ajp", "connection {}: a packet that can't be trusted, closed",
                 connection.tag & ~kAjpTickets);
      close_after_output(caller);  // an answer before it may not have been read yet
      return bytes.size();
    }
    if (const double now = net::monotonic_now(); !share_.try_read(front_, now)) {
      // Its time for reading is used up: the others' turn. What has come stays where it is.
      counters_.add(Count::kReadsHeld);
      connection.pause_reading_until(share_.next_period_at());
      break;
    }
    used += packet.length;
    traffic(caller);
    const bool sound = take(caller, packet.payload);
    note_busy(caller);
    if (!sound) {
      counters_.add(Count::kBadFrames);
      wasted(caller, conns::Penalty::kInvalidFrame);
      close_after_output(caller);  // an answer before it may not have been read yet
      return bytes.size();
    }
  }
  counters_.add(Count::kBytesIn, used);
  return used;
}

// One packet. False: what no gateway sends; nothing after it counts.
bool AjpServer::take(Caller& caller, std::string_view payload) {
  if (caller.state == State::kBody) return take_piece(caller, payload), true;
  const std::optional<wa::FromGateway> message = wa::decode_from_gateway(payload);
  if (!message) {
    counters_.add(Count::kBadRequests);
    refuse(caller, 400, true);
    return true;
  }
  caller.has_asked = true;
  // A ping keeps a connection, but it is of no use by itself: its time to be kept counts from requests.
  if (door_ != nullptr && std::holds_alternative<wa::ForwardRequest>(*message))
    door_->on_request_read(caller.connection->tag);
  if (std::holds_alternative<wa::CPing>(*message)) {
    counters_.add(Count::kAjpPings);
    caller.began = -1;
    put(caller, wa::CPong{});
    return true;
  }
  // A gateway may not stop us, nor anybody who can reach the port.
  if (std::holds_alternative<wa::Shutdown>(*message)) {
    counters_.add(Count::kBadRequests);
    log_.warn("ajp", "a gateway asked for a shutdown, refused");
    return false;
  }
  if (std::holds_alternative<wa::Ping>(*message)) return caller.began = -1, true;
  take_request(caller, std::get<wa::ForwardRequest>(*message));
  return true;
}

void AjpServer::take_request(Caller& caller, const wa::ForwardRequest& request) {
  counters_.add(Count::kAjpRequests);
  caller.request = {};
  caller.request.received_at = net::unix_now();
  caller.check = false;
  caller.chunked = false;
  caller.announced = 0;
  caller.head_only = request.method == "HEAD";
  const bool body = has_body(request);
  if (!options_.secret.empty()) {
    const wa::Attribute* secret = request.attribute(wa::Attribute::kSecret);
    if (secret == nullptr || !same_secret(options_.secret, secret->value)) {
      counters_.add(Count::kAjpForbidden);
      return refuse(caller, 403, true);
    }
  }
  // What a gateway passes on unasked may be meant to steer what is behind us (CVE-2020-1938).
  for (const wa::Attribute& one : request.attributes) {
    if (one.kind != wa::Attribute::kRequest) continue;
    const auto& known = options_.attributes;
    if (std::find(known.begin(), known.end(), one.name) != known.end()) continue;
    counters_.add(Count::kAjpForbidden);
    log_.debug("ajp", "a request attribute that is not on the list: refused");
    return refuse(caller, 403, true);
  }
  const auto found = match(options_.routes, request.method, request.uri);
  if (const auto* none = std::get_if<AjpNoMatch>(&found)) {
    counters_.add(Count::kAjpUnmapped);
    return refuse(caller, *none == AjpNoMatch::kPath ? 404 : *none == AjpNoMatch::kMethod ? 405 : 400, body);
  }
  const AjpMatch& matched = std::get<AjpMatch>(found);
  if (!fill(caller, *matched.route, matched.stars, request)) {
    counters_.add(Count::kBadParams);
    return refuse(caller, 400, body);
  }
  if (!body_of(caller, request)) return;
  if (!caller.chunked && caller.announced == 0) return submit(caller);
  caller.state = State::kBody;
  if (caller.chunked) ask_for_body(caller);  // a body of known length begins by itself
}

// How much body there will be. False: refused.
bool AjpServer::body_of(Caller& caller, const wa::ForwardRequest& request) {
  const std::string* length = nullptr;
  for (const wa::Header& header : request.headers) {
    if (header.name != "content-length") continue;
    // Two lengths, or a length and an encoding: two readers would each see another request.
    if (length != nullptr && *length != header.value) return refuse(caller, 400, true), false;
    length = &header.value;
  }
  const std::string* encoding = request.header("transfer-encoding");
  const auto encodings = std::count_if(request.headers.begin(), request.headers.end(),
                                       [](const wa::Header& h) { return h.name == "transfer-encoding"; });
  if (encodings > 1) return refuse(caller, 400, true), false;
  if (encoding != nullptr && length != nullptr) return refuse(caller, 400, true), false;
  if (encoding != nullptr && *encoding != "chunked") return refuse(caller, 501, true), false;
  caller.chunked = encoding != nullptr;
  if (length == nullptr) return true;
  if (!whole_number(*length, caller.announced)) return refuse(caller, 400, true), false;
  if (caller.announced > options_.body) {
    counters_.add(Count::kAjpTooLarge);
    return refuse(caller, 413, true), false;
  }
  return true;
}

// What the request is, by the table. False: something that it needs is missing or can't be read.
bool AjpServer::fill(Caller& caller, const AjpRoute& route, const std::vector<std::string_view>& stars,
                     const wa::ForwardRequest& request) {
  if (route.route == "health") return caller.check = true;
  const auto type = std::find(self_.routes.begin(), self_.routes.end(), route.route);
  if (type == self_.routes.end())
    return false;  // the configuration was checked: this is another site's table
  IncomingRequest& incoming = caller.request;
  incoming.route = static_cast<int>(type - self_.routes.begin());
  incoming.size_kb = route.size_kb;
  if (const auto key = value_of(route.key, stars, request)) incoming.idempotency_key = *key;
  const auto at = static_cast<std::size_t>(incoming.route);
  if (incoming.idempotency_key.size() > std::max<std::size_t>(1, self_.longest_key)) return false;
  if (at < self_.needs_key.size() && self_.needs_key[at] && incoming.idempotency_key.empty()) return false;
  if (const auto who = value_of(route.caller, stars, request)) {
    if (!whole_number(*who, incoming.caller))
      incoming.caller = static_cast<std::uint32_t>(XXH3_64bits(who->data(), who->size()));
  }
  if (const auto subject = value_of(route.subject, stars, request))
    incoming.subject = XXH3_64bits(subject->data(), subject->size()) | 1;
  if (const auto wait = value_of(route.wait, stars, request)) {
    std::uint64_t ms = 0;
    if (!whole_number(*wait, ms) || ms == 0) return false;
    incoming.client_timeout = std::min(kMostWait, static_cast<double>(ms) / kMsPerSecond);
  }
  return true;
}

void AjpServer::ask_for_body(Caller& caller) {
  const std::size_t room = options_.packet - wa::kBodyHead;
  const std::size_t left = caller.chunked ? options_.body + 1 - caller.request.body.size()
                                          : caller.announced - caller.request.body.size();
  put(caller, wa::GetBodyChunk{static_cast<std::uint16_t>(std::min(room, left))});
}

void AjpServer::take_piece(Caller& caller, std::string_view payload) {
  const std::optional<std::string_view> piece = wa::decode_body(payload);
  const std::size_t most = caller.chunked ? options_.body : caller.announced;
  if (!piece || caller.request.body.size() + piece->size() > most) {
    const bool large = piece && caller.chunked;
    counters_.add(large ? Count::kAjpTooLarge : Count::kBadRequests);
    return refuse(caller, large ? 413 : 400, true);
  }
  if (piece->empty()) {
    if (caller.chunked) return submit(caller);
    counters_.add(Count::kBadRequests);  // it ends before what was announced
    return refuse(caller, 400, true);
  }
  caller.request.body += *piece;
  if (!caller.chunked && caller.request.body.size() == caller.announced) return submit(caller);
  ask_for_body(caller);
}

// Read, whole: from here on it is owed its one answer.
void AjpServer::submit(Caller& caller) {
  caller.state = State::kOpen;
  caller.began = -1;
  const ReplyAddress ticket{caller.connection->tag, ++caller.number};
  if (caller.check) {
    counters_.add(Count::kChecksRead);
    return events_.on_check(ticket, false);
  }
  IncomingRequest request = std::move(caller.request);
  caller.type = request.route;
  do request.id = random_();
  while (request.id == 0 || events_.in_use(request.id));
  request.reply_to = ticket;
  caller.request = {};
  caller.request.id = request.id;
  // It came when it was whole: a head from before the notice to leave does not bring a body from after the
  // grace with it. What its caller waits counts from the head.
  const double now = net::unix_now(), limit = request.client_timeout > 0
                                                  ? request.client_timeout
                                                  : self_.timeouts[static_cast<std::size_t>(request.route)];
  request.client_timeout = std::max(kLeastWait, request.received_at + limit - now);
  request.received_at = now;
  caller.due = now + request.client_timeout;
  events_.on_request_read(std::move(request));
}

// ---- Answers.
void AjpServer::put(Caller& caller, const wa::FromServer& message) {
  if (!caller.connection->open()) return;
  const std::string bytes = wa::encode(message);
  caller.connection->send(bytes);
  if (caller.connection->open()) counters_.add(Count::kBytesOut, bytes.size());
}

void AjpServer::respond(Caller& caller, std::uint16_t status, std::vector<wa::Header> headers,
                        std::string_view body, bool reuse) {
  headers.push_back({"content-length", std::to_string(body.size())});
  put(caller, wa::SendHeaders{status, reason_of(status), std::move(headers)});
  const std::size_t piece = options_.packet - kChunkHead;
  if (caller.head_only) body = {};
  for (; !body.empty(); body.remove_prefix(std::min(piece, body.size())))
    put(caller, wa::SendBodyChunk{std::string(body.substr(0, piece))});
  put(caller, wa::EndResponse{reuse});
  traffic(caller);
  caller.began = -1;
  caller.state = State::kIdle;
  if (!reuse) close_after_output(caller);
}

// Answered without a slot. Where a body may still come, or may not be trusted to be none, nothing after it is
// read.
void AjpServer::refuse(Caller& caller, std::uint16_t status, bool with_body) {
  counters_.add(Count::kAjpRefused);
  caller.request = {};
  respond(caller, status, {}, {}, !with_body && !no_more_);
}

void AjpServer::close_after_output(Caller& caller) {
  caller.state = State::kClosing;
  caller.connection->stop_reading();
  if (caller.connection->waiting() == 0) caller.connection->end();
}

AjpServer::Caller* AjpServer::waiting_for(ReplyAddress ticket) {
  const auto found = open_.find(ticket.connection);
  if (found == open_.end()) return nullptr;
  Caller& caller = found->second;
  return caller.state == State::kOpen && caller.number == ticket.number ? &caller : nullptr;
}

void AjpServer::answered(Caller& caller, std::uint16_t status, std::vector<wa::Header> headers,
                         std::string_view body) {
  caller.request = {};
  respond(caller, status, std::move(headers), body, !no_more_ && !caller.input_over);
  note_busy(caller);
  if (caller.state == State::kIdle && caller.connection->open()) caller.connection->pause_reading(false);
}

void AjpServer::answer_succeeded(ReplyAddress ticket, std::string_view result) {
  Caller* caller = waiting_for(ticket);
  if (caller != nullptr && door_ != nullptr) door_->on_success(ticket.connection, caller->type);
  if (caller != nullptr) answered(*caller, 200, {{"content-type", "application/octet-stream"}}, result);
}
void AjpServer::answer_rejected(ReplyAddress ticket, double retry_after, bool no_retry) {
  Caller* caller = waiting_for(ticket);
  if (caller == nullptr) return;
  std::vector<wa::Header> headers;
  // Whole seconds, rounded up: who comes back sooner than told is told again.
  if (!no_retry && retry_after > 0)
    headers.push_back({"retry-after", std::to_string(static_cast<long>(std::ceil(retry_after)))});
  answered(*caller, 503, std::move(headers), {});
}
void AjpServer::answer_failed(ReplyAddress ticket, FailureReason why) {
  Caller* caller = waiting_for(ticket);
  if (caller == nullptr) return;
  const bool at_due = net::unix_now() >= caller->due - kAtDue;
  switch (why) {
    case FailureReason::kOutcomeUnknown: return answered(*caller, 500, {{"outcome", "unknown"}}, {});
    case FailureReason::kKeyConflict: return answered(*caller, 422, {}, {});
    case FailureReason::kNotKnown:
    case FailureReason::kPlain: return answered(*caller, at_due ? 504 : 502, {}, {});
  }
}
void AjpServer::answer_check(ReplyAddress ticket, bool good) {
  if (good) counters_.add(Count::kChecksGood);
  if (Caller* caller = waiting_for(ticket)) answered(*caller, good ? 200 : 503, {}, {});
}

// ---- The ends of connections.
void AjpServer::on_output_sent(net::Connection& connection) {
  const auto found = open_.find(connection.tag);
  if (found == open_.end()) return;
  found->second.output_rate.stop();
  note_busy(found->second);
  if (found->second.state == State::kClosing) connection.end();
}

// A gateway that has closed its side gets the answer that it is owed; what was not whole never was a request.
void AjpServer::on_end_of_input(net::Connection& connection) {
  const auto found = open_.find(connection.tag);
  if (found == open_.end()) return;
  found->second.input_over = true;
  if (found->second.state != State::kOpen) close_after_output(found->second);
}

void AjpServer::on_end(net::Connection& connection, net::End why) {
  const auto found = open_.find(connection.tag);
  if (found == open_.end()) return;
  const Caller caller = std::move(found->second);
  by_traffic_.erase(caller.place);
  open_.erase(found);
  if (door_ != nullptr) {
    if (!caller.has_asked && why == net::End::kBroken)
      door_->penalize(connection.tag, conns::Penalty::kReset);
    door_->on_closed(connection.tag);
  } else if (!caller.evicted) {
    share_.on_closed(front_);
  }
  counters_.add(why == net::End::kInOrder    ? Count::kCallersClosed
                : why == net::End::kOverflow ? Count::kSlowPeers
                                             : Count::kCallersReset);
  if (caller.state == State::kOpen && !caller.check) events_.on_caller_gone(caller.request.id);
}

void AjpServer::traffic(Caller& caller) {
  caller.last_traffic = net::monotonic_now();
  by_traffic_.splice(by_traffic_.end(), by_traffic_, caller.place);
}

// With a door, answers have to be taken by the second.
bool AjpServer::too_slow(Caller& caller, double now) {
  if (door_ == nullptr) return false;
  const net::Connection& connection = *caller.connection;
  if (connection.waiting() > 0 && !caller.output_rate.is_running())
    caller.output_rate.start(now, connection.bytes_out());
  return caller.output_rate.is_too_slow(now, connection.bytes_out(), door_->output_rate());
}

// Each has to ask, to finish what it began within its time whatever it sends meanwhile, and to take its
// answer. Guards against callers that say nothing, drip a request byte by byte, leave a piece of a body
// unsent, or never read.
void AjpServer::look_over() {
  const double now = net::monotonic_now();
  for (auto& [tag, caller] : open_) {
    net::Connection& connection = *caller.connection;
    if (!connection.open()) continue;
    if (connection.waiting() == 0) caller.waiting_since = -1;
    if (connection.waiting() > 0 && caller.waiting_since < 0) caller.waiting_since = now;
    const bool untaken = caller.waiting_since >= 0 && now - caller.waiting_since > kTakeOutput;
    if (untaken || too_slow(caller, now)) {
      wasted(caller, conns::Penalty::kSlowTransfer);
      connection.close(net::End::kOverflow);
      continue;
    }
    if (caller.state == State::kClosing || caller.state == State::kOpen) continue;
    if (caller.began >= 0 && (now - caller.began > kWholeRequest ||
                              (door_ != nullptr && caller.input_rate.is_too_slow(now, connection.bytes_in(),
                                                                                 door_->input_rate())))) {
      counters_.add(Count::kHalfClosed);
      wasted(caller, conns::Penalty::kIncompleteRequest);
      refuse(caller, 408, true);
    } else if (!nothing_owed(caller)) {
      continue;  // what lies unread is read first
    } else if (!caller.has_asked && now - caller.last_traffic > kFirstRequest) {
      counters_.add(Count::kSilentClosed);
      wasted(caller, conns::Penalty::kSilent);
      connection.end();
    } else if (now - caller.last_traffic > options_.idle) {
      connection.end();
    }
  }
  look_timer_ = reactor_.after(kLookOver, [this] { look_over(); });
}

// AJP has no word for it: idle connections are closed, the others after their answer. Where something waits
// to be read it is read first.
void AjpServer::ask_no_more() {
  no_more_ = true;
  for (auto& [tag, caller] : open_) {
    if (caller.connection->open() && nothing_owed(caller)) caller.connection->end();
  }
}

}  // namespace damsonspoke::peers

#include "peers/json_rpc/server.h"

#include <algorithm>

#include "net/address.h"
#include "net/lingering_close.h"

namespace damsonspoke::peers {
namespace {

constexpr double kSecondsPerMs = 0.001;
constexpr std::size_t kMostOpen = 32;             // requests a connection, as the protocol allows
constexpr std::size_t kOutputBytes = 256 * 1024;  // a connection; 32 full answers take 180 KiB
constexpr std::size_t kSlowOutput = 64 * 1024;    // waiting; over it nothing more is read from that peer
constexpr double kIdleLook = 0.05;     // s; least time between looks at the longest idle connection
constexpr double kIdleLookMost = 1;    // s; and most: one that comes meanwhile may be idle sooner
constexpr double kNoMorePatience = 5;  // s; a peer that was asked for no more and does not close
constexpr double kLookOver = 0.25;  // s; between looks at all connections for those that hold one for nothing
constexpr double kFirstRequest = 2;    // s from accepting until a first request must be whole
constexpr double kWholeRequest = 1.5;  // s from its first byte until any request must be whole
constexpr double kTakeOutput = 5;      // s in which a caller must have taken what waits for it
constexpr double kLongestIdle =
    15;  // s; callers close idle ones after some seconds, those left are kept for good
constexpr double kSilent = 0.1;  // s without a request; in a full table it goes before any that has asked
constexpr int kMostFaults =
    16;  // messages that are no sound requests; a caller that speaks our protocol has none

}  // namespace

JsonRpcServer::JsonRpcServer(net::Reactor& reactor, const std::string& listen,
                             const catalog::Catalog& catalog, Marks marks, Limits limits,
                             CallerEvents& events, Counters& counters, Logger& log)
    : reactor_(reactor),
      catalog_(catalog),
      marks_(std::move(marks)),
      limits_(limits),
      events_(events),
      counters_(counters),
      log_(log),
      output_{limits.output_bytes, 0},
      listener_(reactor, net::parse_address(listen), [this](const net::Accepted& one) { on_accept(one); }) {
  if (limits_.connection_admission != nullptr) {
    listener_.keep_reserve();
    limits_.connection_admission->register_listener(
        limits_.front, output_,
        [this](std::uint64_t tag) {
          const auto found = open_.find(tag);
          if (found == open_.end()) return;
          if (!found->second.has_asked) wasted(found->second, conns::Penalty::kSilent);
          let_go(found->second);
        },
        [](double retry_after) { return wire::encode_rejection(0, retry_after / kSecondsPerMs, false); });
  }
  look_over();
}

JsonRpcServer::~JsonRpcServer() {
  reactor_.cancel(idle_timer_);
  reactor_.cancel(look_timer_);
}

// A newcomer that finds neither room nor anybody idle is closed, with nothing run, not left to wait.
bool JsonRpcServer::take_in(std::uint64_t tag, const net::Accepted& accepted) {
  if (limits_.connection_admission != nullptr)
    return limits_.connection_admission->admit(limits_.front, tag, accepted);
  if (room() || make_room()) {
    if (limits_.share != nullptr) limits_.share->on_opened(limits_.front);
    return true;
  }
  counters_.add(Count::kCallersTurnedAway);
  net::LingeringClose::begin(reactor_, accepted.fd);
  return false;
}

void JsonRpcServer::on_accept(const net::Accepted& accepted) {
  const std::uint64_t tag = next_tag_++;
  if (!take_in(tag, accepted)) return;
  net::OutputPool* pool =
      limits_.connection_admission != nullptr ? limits_.connection_admission->output_pool(tag) : &output_;
  Caller& caller = open_[tag];
  caller.connection =
      net::Connection::accepted(reactor_, *this, accepted.fd, {kMostInput, kOutputBytes, pool});
  caller.connection->tag = tag;
  caller.last_traffic = net::monotonic_now();
  caller.place = by_traffic_.insert(by_traffic_.end(), tag);
  counters_.add(Count::kCallersAccepted);
  counters_.most(Count::kCallersMost, open_.size());
  if (no_more_) ask_no_more(caller);
}

// ---- What the door hears of a connection.
void JsonRpcServer::wasted(Caller& caller, conns::Penalty how) {
  if (limits_.connection_admission != nullptr)
    limits_.connection_admission->penalize(caller.connection->tag, how);
}
void JsonRpcServer::note_busy(Caller& caller) {
  if (limits_.connection_admission == nullptr || !caller.connection->open()) return;
  limits_.connection_admission->set_busy(caller.connection->tag,
                                         !caller.requests.empty() || caller.connection->waiting() > 0);
}

bool JsonRpcServer::room() const {
  if (limits_.share != nullptr) return limits_.share->has_capacity(limits_.front);
  return static_cast<int>(open_.size()) < limits_.connections;
}

// Its time for reading is used up while another front has something to read.
bool JsonRpcServer::hold_reading(Caller& caller) {
  if (limits_.share == nullptr || limits_.share->try_read(limits_.front, net::monotonic_now())) return false;
  counters_.add(Count::kReadsHeld);
  caller.connection->pause_reading_until(limits_.share->next_period_at());
  return true;
}

// Nothing is open on it, nothing waits to be written, and nothing that it has said is unread: neither in the
// socket nor, as a part of a request, in our buffer.
bool JsonRpcServer::nothing_owed(const Caller& caller) const {
  return caller.requests.empty() && caller.connection->waiting() == 0 && caller.half_since < 0 &&
         caller.connection->nothing_to_read();
}

// Ends one connection on which nothing is owed: silent ones first, the oldest of them, then the longest idle;
// without any, the oldest that holds a request half said for a while. Guards against connections by hundreds
// that say nothing, or are kept for good, while callers with work wait outside. A request that crosses the
// end is sent again by its caller.
bool JsonRpcServer::make_room() {
  const double now = net::monotonic_now();
  Caller *idle = nullptr, *half = nullptr;
  for (const std::uint64_t tag : by_traffic_) {  // the longest without traffic first
    Caller& caller = open_.at(tag);
    if (!caller.requests.empty() || !caller.connection->open()) continue;
    const bool silent = !caller.has_asked && now - caller.last_traffic >= kSilent;
    if (!half && silent && caller.half_since >= 0 && now - caller.half_since >= kSilent) half = &caller;
    if ((idle && !silent) || !nothing_owed(caller)) continue;
    idle = &caller;
    if (silent) break;
  }
  if (!idle) idle = half;
  if (!idle) return false;
  counters_.add(Count::kCallersEvicted);
  idle->connection->end();
  if (limits_.share != nullptr) limits_.share->on_closed(limits_.front);
  idle->evicted = true;
  return true;
}

std::size_t JsonRpcServer::on_input(net::Connection& connection, std::string_view bytes) {
  std::size_t used = 0;
  const std::uint64_t tag = connection.tag;
  const auto found = open_.find(tag);
  if (found == open_.end()) return bytes.size();
  Caller& caller = found->second;
  while (connection.open()) {
    const wire::Frame frame = wire::next_frame(bytes.substr(used));
    if (frame.state == wire::Framing::kNeedMore) break;
    if (frame.state == wire::Framing::kBroken) {
      counters_.add(Count::kBadFrames);
      log_.debug("callers", "connection {}: a frame that can't be trusted, closed", tag);
      wasted(caller, conns::Penalty::kInvalidFrame);
      refuse(caller, wire::encode_error(0, wire::RpcError::kParse, "broken frame"));
      return bytes.size();
    }
    if (hold_reading(caller)) break;
    used += frame.length;
    caller.half_since = -1;
    caller.input_rate.stop();
    traffic(caller);
    take(caller, tag, frame.body);
    note_busy(caller);
    if (caller.faults >= kMostFaults) {
      wasted(caller, conns::Penalty::kInvalidRequests);
      counters_.add(Count::kFaultsClosed);
      refuse(caller, wire::encode_error(0, wire::RpcError::kRequest, "too many of no use"));
      return bytes.size();
    }
    if (connection.waiting() > kSlowOutput) {
      connection.pause_reading(true);
      return counters_.add(Count::kBytesIn, used), used;
    }
  }
  if (used < bytes.size() && caller.half_since < 0) {
    caller.half_since = net::monotonic_now();
    caller.input_rate.start(caller.half_since, connection.bytes_in() - (bytes.size() - used));
  }
  counters_.add(Count::kBytesIn, used);
  return used;
}

// Its place is another's. What it has said is read first: a request among that is answered before the end.
void JsonRpcServer::let_go(Caller& caller) {
  const auto connection = caller.connection;
  connection->read_now();
  if (!connection->open()) return;
  connection->stop_reading();
  caller.input_over = true;
  after_answer(caller);
}

// Nothing more is read from it; what was read before is still answered, then it is ended. Bytes that lie
// unread behind its last words are thrown away first: a close over them would be a reset, and take the words
// and the answers before them with it.
void JsonRpcServer::refuse(Caller& caller, const std::string& last_words) {
  put(caller, last_words);
  caller.connection->stop_reading();
  caller.input_over = true;
  after_answer(caller);
}

// One message. What can be told to be a request gets its one answer.
void JsonRpcServer::take(Caller& caller, std::uint64_t tag, std::string_view text) {
  wire::RpcRequest request;
  const wire::RpcProblem problem = wire::decode_request(text, request, marks_.field);
  // Under a number in use an answer would be the second one to its first request.
  const bool in_use = request.has_id && caller.requests.contains(request.id);
  const std::uint64_t number = request.has_id && !in_use ? request.id : 0;
  ++caller.faults;  // taken back where it is a sound request
  if (problem == wire::RpcProblem::kNoJson) {
    counters_.add(Count::kBadJson);
    return put(caller, wire::encode_error(number, wire::RpcError::kParse, "no JSON"));
  }
  if (problem == wire::RpcProblem::kNoRequest || !request.has_id) {
    counters_.add(Count::kBadRequests);
    if (problem == wire::RpcProblem::kNone && request.notification) return;  // nothing is owed for it
    return put(caller, wire::encode_error(number, wire::RpcError::kRequest, "no request"));
  }
  if (in_use) {
    counters_.add(Count::kBadIds);
    return put(caller, wire::encode_error(0, wire::RpcError::kRequest, "id in use"));
  }
  if (caller.requests.size() >= kMostOpen) {
    counters_.add(Count::kTooMany);
    return put(caller, wire::encode_rejection(request.id, 0, false));
  }
  if (request.method == "health") {
    if (problem == wire::RpcProblem::kBadParams) {
      counters_.add(Count::kBadParams);
      return put(caller, wire::encode_error(request.id, wire::RpcError::kParams, "bad parameters"));
    }
    counters_.add(Count::kChecksRead);
    --caller.faults;
    caller.has_asked = true;
    if (limits_.connection_admission != nullptr) limits_.connection_admission->on_request_read(tag);
    caller.requests[request.id] = {};
    return events_.on_check({tag, request.id}, request.probe);
  }
  if (problem == wire::RpcProblem::kBadParams || !request.has_txn || request.txn == 0 ||
      request.size_kb <= 0) {
    counters_.add(Count::kBadParams);
    return put(caller, wire::encode_error(request.id, wire::RpcError::kParams, "bad parameters"));
  }
  take_request(caller, tag, request);
}

void JsonRpcServer::take_request(Caller& caller, std::uint64_t tag, wire::RpcRequest& request) {
  const int type = catalog_.find_route(request.method);
  if (type < 0) {
    counters_.add(Count::kBadTypes);
    return put(caller, wire::encode_error(request.id, wire::RpcError::kMethod, "unknown op type"));
  }
  const bool sound = request.has_idempotency_key && !request.idempotency_key.empty() &&
                     request.idempotency_key.size() <= marks_.longest;
  if (needs_mark(request, type) && !sound) {
    counters_.add(Count::kBadParams);
    return put(caller, wire::encode_error(request.id, wire::RpcError::kParams,
                                          request.has_idempotency_key ? "bad key" : "no key"));
  }
  // Guards against a request whose share nobody could count: it would use another tenant's.
  const int tenant = catalog_.find_tenant(request.tenant);
  if (catalog_.tenant_count() > 0 && tenant < 0) {
    counters_.add(Count::kBadParams);
    return put(caller, wire::encode_error(request.id, wire::RpcError::kParams,
                                          request.tenant.empty() ? "no customer" : "unknown customer"));
  }
  if (events_.in_use(request.txn)) {
    counters_.add(Count::kBadIds);
    return put(caller, wire::encode_error(request.id, wire::RpcError::kRequest, "txn in use"));
  }
  IncomingRequest incoming;
  incoming.id = request.txn;
  incoming.route = type;
  incoming.tenant = std::max(tenant, 0);
  incoming.caller = request.caller;
  incoming.is_retry = request.is_retry;
  incoming.subject = request.has_subject ? request.subject : 0;
  incoming.size_kb = request.size_kb;
  incoming.received_at = request.received_at_ms * kSecondsPerMs;
  incoming.client_timeout = request.client_timeout_ms * kSecondsPerMs;
  incoming.work_hint = request.work_ms * kSecondsPerMs;
  incoming.idempotency_key = std::move(request.idempotency_key);
  incoming.body = std::move(request.body);
  incoming.reply_to = {tag, request.id};
  --caller.faults;
  caller.has_asked = true;
  if (limits_.connection_admission != nullptr) limits_.connection_admission->on_request_read(tag);
  caller.requests[request.id] = {incoming.id, incoming.route};
  events_.on_request_read(std::move(incoming));
}

// Whether its repeats are told by the member that operators name.
bool JsonRpcServer::needs_mark(const wire::RpcRequest& request, int type) const {
  return !marks_.field.empty() && catalog_.route(type).idempotency == Idempotency::kWithKey &&
         !marks_.by_digest.contains(request.method);
}

void JsonRpcServer::put(Caller& caller, const std::string& text) {
  if (!caller.connection->open()) return;
  caller.connection->send(text);
  if (caller.connection->open()) counters_.add(Count::kBytesOut, text.size());
}

void JsonRpcServer::answer(ReplyAddress ticket, const std::string& text, bool succeeded) {
  const auto found = open_.find(ticket.connection);
  if (found == open_.end()) return;
  Caller& caller = found->second;
  const auto request = caller.requests.extract(ticket.number);
  if (request.empty()) return;
  traffic(caller);
  put(caller, text);
  if (succeeded && limits_.connection_admission != nullptr)
    limits_.connection_admission->on_success(ticket.connection, request.mapped().type);
  note_busy(caller);
  after_answer(caller);
}

// A caller that has closed its side gets its last answer and then our end.
void JsonRpcServer::after_answer(Caller& caller) {
  if (caller.requests.empty() && caller.input_over && caller.connection->waiting() == 0)
    caller.connection->end();
}

void JsonRpcServer::answer_succeeded(ReplyAddress ticket, std::string_view result) {
  answer(ticket, wire::encode_result(ticket.number, result), true);
}
void JsonRpcServer::answer_rejected(ReplyAddress ticket, double retry_after, bool no_retry) {
  answer(ticket, wire::encode_rejection(ticket.number, retry_after / kSecondsPerMs, no_retry));
}
void JsonRpcServer::answer_failed(ReplyAddress ticket, FailureReason why) {
  switch (why) {
    case FailureReason::kPlain:
    case FailureReason::kNotKnown:  // callers do not ask so
      return answer(ticket, wire::encode_error(ticket.number, wire::RpcError::kFailed, "failed"));
    case FailureReason::kOutcomeUnknown:
      return answer(ticket, wire::encode_error(ticket.number, wire::RpcError::kOutcomeUnknown,
                                               "a try of this op has run; its outcome is unknown"));
    case FailureReason::kKeyConflict:
      return answer(ticket, wire::encode_error(ticket.number, wire::RpcError::kKeyConflict,
                                               "this key belongs to an op with another body"));
  }
}
void JsonRpcServer::answer_check(ReplyAddress ticket, bool good) {
  if (good) counters_.add(Count::kChecksGood);
  answer(ticket, wire::encode_check(ticket.number, good));
}

void JsonRpcServer::on_output_sent(net::Connection& connection) {
  const auto found = open_.find(connection.tag);
  if (found == open_.end()) return;
  connection.pause_reading(false);
  found->second.output_rate.stop();
  note_busy(found->second);
  after_answer(found->second);
}

void JsonRpcServer::on_end_of_input(net::Connection& connection) {
  const auto found = open_.find(connection.tag);
  if (found == open_.end()) return;
  found->second.input_over = true;
  after_answer(found->second);
}

void JsonRpcServer::on_end(net::Connection& connection, net::End why) {
  const auto found = open_.find(connection.tag);
  if (found == open_.end()) return;
  const Caller caller = std::move(found->second);
  by_traffic_.erase(caller.place);
  open_.erase(found);
  if (limits_.connection_admission != nullptr) {
    if (!caller.has_asked && why == net::End::kBroken)
      limits_.connection_admission->penalize(connection.tag, conns::Penalty::kReset);
    limits_.connection_admission->on_closed(connection.tag);
  } else if (limits_.share != nullptr && !caller.evicted) {
    limits_.share->on_closed(limits_.front);
  }
  counters_.add(why == net::End::kInOrder    ? Count::kCallersClosed
                : why == net::End::kOverflow ? Count::kSlowPeers
                                             : Count::kCallersReset);
  std::vector<RequestId> gone;
  for (const auto& [number, request] : caller.requests) {
    if (request.id != 0) gone.push_back(request.id);
  }
  std::sort(gone.begin(), gone.end());
  for (const RequestId id : gone) events_.on_caller_gone(id);
}

// Every connection costs a descriptor and memory: each has to ask, to finish what it began and to take its
// answers, or it goes. Guards against callers that say nothing, stall in a request or never read.
void JsonRpcServer::look_over() {
  const double now = net::monotonic_now();
  for (auto& [tag, caller] : open_) {
    net::Connection& connection = *caller.connection;
    if (!connection.open()) continue;
    look_at(caller, now);
    if (!connection.open()) continue;
    if (connection.waiting() == 0) caller.waiting_since = -1;
    if (connection.waiting() > 0 && caller.waiting_since < 0) caller.waiting_since = now;
    if (caller.waiting_since >= 0 && now - caller.waiting_since > kTakeOutput) {
      wasted(caller, conns::Penalty::kSlowTransfer);
      connection.close(net::End::kOverflow);
    } else if (!caller.has_asked && now - caller.last_traffic > kFirstRequest && nothing_owed(caller)) {
      counters_.add(Count::kSilentClosed);
      wasted(caller, conns::Penalty::kSilent);
      connection.end();
    } else if (caller.half_since >= 0 && now - caller.half_since > kWholeRequest) {
      counters_.add(Count::kHalfClosed);
      wasted(caller, conns::Penalty::kIncompleteRequest);
      caller.half_since = -1;
      refuse(caller, wire::encode_error(0, wire::RpcError::kParse, "not whole in time"));
    } else if (caller.requests.empty() && now - caller.last_traffic > kLongestIdle) {
      ask_no_more(caller);
      if (now - caller.asked_no_more > kNoMorePatience && nothing_owed(caller)) connection.end();
    }
  }
  look_timer_ = reactor_.after(kLookOver, [this] { look_over(); });
}

// With a door, bytes are owed by the second, both ways. Guards against who drips a request in, or takes his
// answers a byte at a time, and is never silent.
void JsonRpcServer::look_at(Caller& caller, double now) {
  if (limits_.connection_admission == nullptr) return;
  net::Connection& connection = *caller.connection;
  if (connection.waiting() > 0 && !caller.output_rate.is_running())
    caller.output_rate.start(now, connection.bytes_out());
  if (caller.output_rate.is_too_slow(now, connection.bytes_out(),
                                     limits_.connection_admission->output_rate())) {
    wasted(caller, conns::Penalty::kSlowTransfer);
    return connection.close(net::End::kOverflow);
  }
  if (caller.half_since < 0 ||
      !caller.input_rate.is_too_slow(now, connection.bytes_in(), limits_.connection_admission->input_rate()))
    return;
  counters_.add(Count::kHalfClosed);
  wasted(caller, conns::Penalty::kIncompleteRequest);
  caller.half_since = -1;
  caller.input_rate.stop();
  refuse(caller, wire::encode_error(0, wire::RpcError::kParse, "too slow"));
}

// ---- Idle connections and the end.
void JsonRpcServer::traffic(Caller& caller) {
  caller.last_traffic = net::monotonic_now();
  by_traffic_.splice(by_traffic_.end(), by_traffic_, caller.place);
}

void JsonRpcServer::ask_no_more(Caller& caller) {
  if (caller.asked_no_more >= 0) return;
  caller.asked_no_more = net::monotonic_now();
  counters_.add(Count::kCallersAsked);
  put(caller, wire::encode_no_more());
}

void JsonRpcServer::ask_no_more() {
  no_more_ = true;
  for (auto& [tag, caller] : open_) ask_no_more(caller);
}

void JsonRpcServer::set_idle_timeout(double after) {
  idle_after_ = after;
  reactor_.cancel(idle_timer_);
  if (after > 0) look_for_idle();
}

// The list is in the order of traffic, so that only those that are idle are looked at. A caller that is asked
// for no more closes by itself: nothing that crosses is lost. One that does not is closed after a while.
void JsonRpcServer::look_for_idle() {
  const double now = net::monotonic_now();
  double next = idle_after_;
  for (auto it = by_traffic_.begin(); it != by_traffic_.end();) {
    const std::uint64_t tag = *it++;
    Caller& caller = open_.at(tag);
    next = caller.last_traffic + idle_after_ - now;
    if (next > 0) break;
    next = kNoMorePatience;
    if (!caller.requests.empty()) {  // it waits for an answer; back to the end, looked at again later
      traffic(caller);
    } else if (caller.asked_no_more < 0) {
      ask_no_more(caller);
    } else if (now - caller.asked_no_more > kNoMorePatience && nothing_owed(caller)) {
      caller.connection->end();
    }
  }
  idle_timer_ = reactor_.after(std::clamp(next, kIdleLook, kIdleLookMost), [this] { look_for_idle(); });
}

void JsonRpcServer::stop_listening() { listener_.close(); }

// Each is read once more; what that brings is answered, and ended by a later call.
void JsonRpcServer::end_all() {
  std::vector<std::shared_ptr<net::Connection>> all;
  for (const auto& [tag, caller] : open_) all.push_back(caller.connection);
  for (const auto& connection : all) {
    connection->read_now();
    const auto found = open_.find(connection->tag);
    if (found == open_.end() || !connection->open()) continue;
    if (found->second.requests.empty() && connection->waiting() == 0) connection->end();
  }
}

}  // namespace damsonspoke::peers

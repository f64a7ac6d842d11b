#include "peers/tier/forwarder_server.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/address.h"

namespace damsonspoke::peers {
namespace {

namespace wt = wire::tier;

constexpr std::size_t kMaxLinkOutputBytes = 1 << 20;
constexpr double kCheckIntervalSeconds = 0.05;
constexpr double kHelloTimeoutSeconds = 1;
constexpr double kSilenceTimeoutSeconds = 1.5;  // forwarders send a ping every 0.25 s
constexpr double kSixteenthsPerKb = 16;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kSecondsPerMicrosecond = 1e-6;
constexpr double kMaxWireMicroseconds = 4e9;
constexpr double kMilli = 1000;
constexpr double kMinReportedValueChange = 50;  // 1/1000 of priority weight

std::uint32_t microseconds(double seconds) {
  return static_cast<std::uint32_t>(std::clamp(seconds * kMicrosecondsPerSecond, 0.0, kMaxWireMicroseconds));
}

tier::ForwarderSessionsOptions session_options(const ForwarderServer::Limits& limits) {
  tier::ForwarderSessionsOptions options;
  options.answer_cache_bytes = limits.answer_cache_bytes;
  return options;
}

wt::Result result_of(FailureReason reason) {
  switch (reason) {
    case FailureReason::kKeyUnknown: return wt::Result::kKeyUnknown;
    case FailureReason::kOutcomeUnknown: return wt::Result::kUnknown;
    case FailureReason::kKeyConflict: return wt::Result::kConflict;
    case FailureReason::kFailed: break;
  }
  return wt::Result::kFailed;
}

IncomingRequest incoming_request(wt::Submit submit, int route, ReplyAddress reply_to) {
  IncomingRequest request;
  request.id = submit.request;
  request.route = route;
  request.caller = submit.caller;
  request.subject = submit.subject;
  request.size_kb = std::max(1.0, static_cast<double>(submit.size_sixteenth_kb)) / kSixteenthsPerKb;
  request.received_at = net::unix_now() - submit.age_us * kSecondsPerMicrosecond;
  if (submit.remaining_us != wt::kNoTimeLimit)
    request.client_timeout =
        (static_cast<double>(submit.age_us) + submit.remaining_us) * kSecondsPerMicrosecond;
  request.idempotency_key = std::move(submit.idempotency_key);
  request.body = std::move(submit.body);
  request.is_lookup_only = submit.is_lookup_only;
  request.reply_to = reply_to;
  return request;
}

}  // namespace

ForwarderServer::ForwarderServer(net::Reactor& reactor, const std::string& listen, Self self, Limits limits,
                                 CallerEvents& events, Counters& counters, Logger& log)
    : reactor_(reactor),
      self_(std::move(self)),
      limits_(limits),
      events_(events),
      counters_(counters),
      log_(log),
      output_{limits.output_bytes, 0},
      listener_(reactor, net::parse_address(listen),
                [this](const net::Accepted& accepted) { on_accept(accepted); }),
      sessions_(session_options(limits), self_.epoch),
      windows_(self_.slow_start) {
  check_links();
}

ForwarderServer::~ForwarderServer() { reactor_.cancel(check_timer_); }

// ---- Links.

void ForwarderServer::on_accept(const net::Accepted& accepted) {
  const int fd = accepted.fd;
  if (static_cast<int>(links_.size()) >= limits_.links) {
    counters_.add(Count::kCallersRejected);
    ::close(fd);
    return;
  }
  const std::uint64_t tag = next_tag_++;
  Link& link = links_[tag];
  link.connection =
      net::Connection::accepted(reactor_, *this, fd, {kMaxInputBytes, kMaxLinkOutputBytes, &output_});
  link.connection->tag = tag;
  link.last_message_at = net::monotonic_now();
  link.empty_at = link.last_message_at;
  counters_.add(Count::kCallersAccepted);
  counters_.update_max(Count::kCallersMaxOpen, links_.size());
}

std::size_t ForwarderServer::on_input(net::Connection& connection, std::string_view bytes) {
  std::size_t used = 0;
  while (connection.open()) {
    const auto found = links_.find(connection.tag);
    if (found == links_.end()) return bytes.size();
    wt::DecodedFrame frame = wt::decode_next_frame(bytes.substr(used));
    if (frame.state == wt::Framing::kNeedMore) break;
    if (frame.state == wt::Framing::kBroken) {
      counters_.add(Count::kBadFrames);
      log_.warn("forwarders", "forwarder {}: invalid frame, link closed", found->second.name);
      connection.close(net::CloseReason::kBroken);
      return bytes.size();
    }
    used += frame.length;
    found->second.last_message_at = net::monotonic_now();
    if (!handle_message(connection.tag, frame.message)) {
      counters_.add(Count::kBadRequests);
      connection.close(net::CloseReason::kBroken);
      return bytes.size();
    }
  }
  counters_.add(Count::kCallersBytesIn, used);
  return used;
}

void ForwarderServer::on_end_of_input(net::Connection& connection) { connection.close(); }

void ForwarderServer::on_end(net::Connection& connection, net::CloseReason reason) {
  const auto found = links_.find(connection.tag);
  if (found == links_.end()) return;
  const Link& link = found->second;
  if (link.forwarder != 0) {
    log_.info("forwarders", "forwarder {} disconnected", link.name);
    sessions_.on_link_lost(connection.tag, net::monotonic_now());
    // If another link has superseded this one, the forwarder keeps its window.
    if (!sessions_.is_linked(link.forwarder)) windows_.remove_forwarder(link.forwarder, net::monotonic_now());
  }
  links_.erase(found);
  counters_.add(reason == net::CloseReason::kOrderly ? Count::kCallersClosed : Count::kCallersReset);
}

bool ForwarderServer::has_timed_out(const Link& link, double now) {
  const double timeout = link.forwarder == 0 ? kHelloTimeoutSeconds : kSilenceTimeoutSeconds;
  return link.connection->open() && now - link.last_message_at > timeout;
}

// Closes links that stall within a frame, or whose forwarder has stopped without closing them.
void ForwarderServer::check_links() {
  const double now = net::monotonic_now();
  for (auto& [tag, link] : links_) {
    if (link.connection->nothing_to_read()) link.empty_at = now;
    if (!has_timed_out(link, now)) continue;
    link.connection->read_now();  // if this process was paused, its messages are unread
    if (!has_timed_out(link, now)) continue;
    counters_.add(Count::kCallersSilent);
    log_.warn("forwarders", "forwarder {}: no message within the timeout, link closed", link.name);
    link.connection->close(net::CloseReason::kBroken);
  }
  const std::vector<RequestId> expired = sessions_.take_expired(now);
  for (const RequestId request : expired)
    log_.debug("forwarders",
               "request {:016x} abandoned: its forwarder did not reconnect within the grace period", request);
  abandon(expired);
  send_load_reports(false);
  check_timer_ = reactor_.after(kCheckIntervalSeconds, [this] { check_links(); });
}

void ForwarderServer::send(Link& link, const wt::Message& message) {
  if (!link.connection->open()) return;
  const std::string bytes = wt::encode(message);
  link.connection->send(bytes);
  counters_.add(Count::kCallersBytesOut, bytes.size());
}

// ---- Messages.

bool ForwarderServer::handle_message(std::uint64_t tag, wt::Message& message) {
  if (const auto* hello = std::get_if<wt::Hello>(&message)) return handle_hello(tag, *hello);
  Link& link = links_.at(tag);
  if (link.forwarder == 0) return false;
  if (auto* submit = std::get_if<wt::Submit>(&message)) {
    handle_submit(link, *submit);
  } else if (const auto* cancel = std::get_if<wt::Cancel>(&message)) {
    handle_cancel(link, *cancel);
  } else if (const auto* fence = std::get_if<wt::Fence>(&message)) {
    handle_fence(link, *fence);
  } else if (const auto* ping = std::get_if<wt::Ping>(&message)) {
    send(link, wt::Pong{ping->token});
  } else {
    return false;
  }
  return true;
}

bool ForwarderServer::handle_hello(std::uint64_t tag, const wt::Hello& hello) {
  Link& link = links_.at(tag);
  if (link.forwarder != 0 || hello.is_planner || hello.version != wt::kVersion || hello.name.empty()) {
    log_.warn("forwarders", "hello rejected: version {}, from '{}'", hello.version, hello.name);
    return false;
  }
  const auto session = sessions_.open_session(hello.name, hello.epoch, tag);
  const auto superseded = links_.find(session.superseded_link);
  if (superseded != links_.end()) superseded->second.connection->close();
  abandon(session.abandoned);
  if (session.forwarder == 0) return false;
  link.forwarder = session.forwarder;
  link.name = hello.name;
  link.routes = local_routes(hello.routes);
  log_.info("forwarders", "forwarder {} connected", hello.name);
  windows_.add_forwarder(link.forwarder);
  rebalance_windows(net::monotonic_now());
  send_hello(link, session.planner_epoch);
  send_load_reports(false);
  return true;
}

std::vector<int> ForwarderServer::local_routes(const std::vector<std::string>& names) const {
  std::vector<int> routes;
  for (const std::string& name : names) {
    const auto found = std::find(self_.routes.begin(), self_.routes.end(), name);
    routes.push_back(found == self_.routes.end() ? -1 : static_cast<int>(found - self_.routes.begin()));
  }
  return routes;
}

// Sends this planner's first messages on a link.
void ForwarderServer::send_hello(Link& link, std::uint64_t planner_epoch) {
  link.reported = load_report(link);
  wt::Hello hello;
  hello.is_planner = true;
  hello.epoch = planner_epoch;
  hello.name = self_.name;
  hello.cores = static_cast<std::uint16_t>(self_.slow_start.cores);
  hello.window = link.reported.window;
  send(link, hello);
  send(link, link.reported);
  if (is_draining_) send(link, wt::Draining{microseconds(self_.stop_after)});
}

void ForwarderServer::handle_submit(Link& link, wt::Submit& submit) {
  using SubmitResult = tier::ForwarderSessions::SubmitResult;
  const int route = link.route_of(submit);
  const SubmitResult result = sessions_.submit(link.forwarder, submit.attempt, submit.request, route);
  if (result == SubmitResult::kFenced) {
    counters_.add(Count::kTierFencedAttempts);
    return;
  }
  const bool has_capacity = result != SubmitResult::kTooMany;
  const ReplyAddress reply_to{link.forwarder, submit.attempt};
  const std::optional<wt::Answer> early_answer = early_answer_to(submit, route, has_capacity);
  if (!early_answer) {
    IncomingRequest request = incoming_request(std::move(submit), route, reply_to);
    request.arrived_earlier = net::monotonic_now() - link.empty_at;
    events_.on_request_read(std::move(request));
  } else if (has_capacity) {
    answer(reply_to, *early_answer);
  } else {
    send(link, *early_answer);  // the attempt was not opened
  }
}

// The answer to a submit that is not accepted; none if it is accepted.
std::optional<wt::Answer> ForwarderServer::early_answer_to(const wt::Submit& submit, int route,
                                                           bool has_capacity) {
  wt::Answer early_answer;
  early_answer.attempt = submit.attempt;
  // Checked first, because a rejection would prove that the request never ran, but another attempt of it is
  // in flight here.
  if (events_.is_in_use(submit.request)) {
    counters_.add(Count::kBadIds);
    early_answer.result = wt::Result::kFailed;
    return early_answer;
  }
  early_answer.result = wt::Result::kRejected;
  if (!has_capacity) {
    const bool may_be_rejected = route < 0 || events_.may_be_rejected(incoming_request(submit, route, {}));
    if (!may_be_rejected) early_answer.result = wt::Result::kFailed;
    return early_answer;
  }
  if (route >= 0) return std::nullopt;
  counters_.add(Count::kBadRoutes);
  early_answer.no_retry = true;
  return early_answer;
}

void ForwarderServer::handle_cancel(const Link& link, const wt::Cancel& cancel) {
  if (const std::optional<RequestId> request = sessions_.cancel(link.forwarder, cancel.attempt))
    abandon({*request});
}

void ForwarderServer::handle_fence(Link& link, const wt::Fence& fence) {
  const auto result = sessions_.fence(link.forwarder, fence.attempt,
                                      [this](RequestId request) { return events_.may_have_run(request); });
  counters_.add(Count::kTierFencesReceived);
  // The request is cancelled before the answer is sent: the proof is valid only if the request can no longer
  // start.
  if (result.abandoned) events_.on_caller_disconnected(*result.abandoned);
  send(link, result.answer);
}

void ForwarderServer::abandon(const std::vector<RequestId>& requests) {
  for (const RequestId request : requests) events_.on_caller_disconnected(request);
}

// ---- Answers.

void ForwarderServer::answer(ReplyAddress reply_to, wt::Answer answer) {
  answer.attempt = reply_to.number;
  const tier::OpenAttempt* attempt = sessions_.find(reply_to.connection, reply_to.number);
  if (attempt == nullptr) return;
  if (attempt->route >= 0) {
    const double now = net::monotonic_now();
    if (answer.result == wt::Result::kRejected) {
      slot_value_.on_rejected(self_.priority_weight[static_cast<std::size_t>(attempt->route)], now);
    } else {
      slot_value_.on_admitted(now);
    }
  }
  const std::uint64_t link = sessions_.record_answer(reply_to.connection, answer);
  const auto found = links_.find(link);
  if (found != links_.end()) send(found->second, answer);
}

void ForwarderServer::answer_succeeded(ReplyAddress reply_to, std::string_view result) {
  wt::Answer success;
  success.result = wt::Result::kSucceeded;
  success.body = result;
  answer(reply_to, std::move(success));
}

void ForwarderServer::answer_rejected(ReplyAddress reply_to, double retry_after, bool no_retry) {
  wt::Answer rejection;
  rejection.result = wt::Result::kRejected;
  rejection.retry_after_us = microseconds(retry_after);
  rejection.no_retry = no_retry;
  answer(reply_to, std::move(rejection));
}

void ForwarderServer::answer_failed(ReplyAddress reply_to, FailureReason reason) {
  wt::Answer failure;
  failure.result = result_of(reason);
  answer(reply_to, std::move(failure));
}

// ---- Load reports.

void ForwarderServer::start_warm_up(bool is_cold, double seconds_ago) {
  windows_.on_runtime_started(is_cold, net::monotonic_now() - seconds_ago);
  send_load_reports(false);
}

void ForwarderServer::rebalance_windows(double now) {
  windows_.rebalance(now, [this](tier::ForwarderId forwarder) { return sessions_.open_attempts(forwarder); });
}

wt::LoadReport ForwarderServer::load_report(const Link& link) {
  const double now = net::monotonic_now();
  wt::LoadReport report;
  report.window = windows_.window(link.forwarder, sessions_.linked_forwarders(), now);
  report.slot_value_milli = static_cast<std::uint32_t>(slot_value_.value(now) * kMilli);
  report.is_healthy = is_healthy_;
  return report;
}

// Sends load reports to forwarders whose window or slot value has changed; with `to_all`, to all forwarders.
void ForwarderServer::send_load_reports(bool to_all) {
  rebalance_windows(net::monotonic_now());
  for (auto& [tag, link] : links_) {
    if (link.forwarder == 0) continue;
    const wt::LoadReport report = load_report(link);
    const double value_change =
        std::abs(static_cast<double>(report.slot_value_milli) - link.reported.slot_value_milli);
    if (!to_all && report.window == link.reported.window && value_change < kMinReportedValueChange) continue;
    link.reported = report;
    send(link, report);
  }
}

void ForwarderServer::set_healthy(bool is_healthy) {
  if (is_healthy == is_healthy_) return;
  is_healthy_ = is_healthy;
  send_load_reports(true);
}

// ---- Graceful shutdown.

void ForwarderServer::announce_drain() {
  is_draining_ = true;
  for (auto& [tag, link] : links_) {
    if (link.forwarder != 0) send(link, wt::Draining{microseconds(self_.stop_after)});
  }
}

void ForwarderServer::stop_listening() { listener_.close(); }

void ForwarderServer::close_idle_connections() {
  std::vector<std::shared_ptr<net::Connection>> connections;
  connections.reserve(links_.size());
  for (const auto& [tag, link] : links_) connections.push_back(link.connection);
  for (const auto& connection : connections) connection->read_now();
  if (sessions_.open_attempts() > 0) return;
  for (const auto& connection : connections) connection->close_gracefully();
}

}  // namespace damsonspoke::peers

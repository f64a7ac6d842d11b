#include "peers/tier/planner_client.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "net/address.h"

namespace damsonspoke::peers {
namespace {

namespace wt = wire::tier;

constexpr std::size_t kMaxInputBytes = wt::kMaxFrameBytes + wt::kHeaderBytes;
constexpr double kPingIntervalSeconds = 0.25;
constexpr double kSilenceTimeoutSeconds = 1;  // limit without a complete message
constexpr double kHelloTimeoutSeconds = 1;    // from connecting to the planner's hello
constexpr double kMinBackoffSeconds = 0.05;
constexpr double kMaxBackoffSeconds = 1;
constexpr double kDrainingBackoffSeconds = 0.5;

}  // namespace

PlannerClient::PlannerClient(net::Reactor& reactor, Self self, std::size_t output_bytes,
                             PlannerEvents& events, Counters& counters, Logger& log)
    : reactor_(reactor),
      self_(std::move(self)),
      output_{output_bytes, 0},
      events_(events),
      counters_(counters),
      log_(log) {
  check_links();
}

PlannerClient::~PlannerClient() {
  reactor_.cancel(check_timer_);
  for (const auto& link : links_) reactor_.cancel(link->reconnect_timer);
  links_.clear();  // before the output pool to which they are charged
}

// ---- The endpoint list.

void PlannerClient::add(const std::string& address) {
  net::parse_address(address);  // throws here instead of in connect()
  links_.push_back(std::make_unique<Link>());
  links_.back()->address = address;
  connect(static_cast<int>(links_.size()) - 1);
}

void PlannerClient::remove(int planner) {
  at(planner).is_listed = false;
  at(planner).is_draining = true;
}

void PlannerClient::restore(int planner) {
  Link& link = at(planner);
  if (link.is_listed) return;
  link.is_listed = true;
  link.is_draining = false;
  reactor_.cancel(link.reconnect_timer);
  if (!link.connection) connect(planner);  // otherwise on_end() reconnects if the connection ends
}

void PlannerClient::close_if_draining(int planner) {
  Link& link = at(planner);
  if (link.is_draining && link.connection && link.connection->open()) link.connection->close();
}

std::size_t PlannerClient::linked_planners() const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [](const auto& link) { return link->is_up; }));
}

// ---- Sending.

bool PlannerClient::send(Link& link, const wt::Message& message) {
  if (!link.connection || !link.connection->open()) return false;
  const std::string bytes = wt::encode(message);
  link.connection->send(bytes);
  if (!link.connection->open()) return false;
  link.sent_bytes += bytes.size();
  return true;
}

// Tracks which submits have been written completely: a complete frame may have arrived, an incomplete one
// can't be read.
void PlannerClient::submit(int planner, const wt::Submit& submit) {
  Link& link = at(planner);
  const bool was_taken = send(link, submit);
  link.unproven_submits.push_back(
      {was_taken ? link.sent_bytes : std::numeric_limits<std::uint64_t>::max(), submit.attempt});
  if (!link.connection || !link.connection->open()) return;
  const std::uint64_t written = link.sent_bytes - link.connection->pending_output_bytes();
  while (!link.unproven_submits.empty() && link.unproven_submits.front().end <= written)
    link.unproven_submits.pop_front();
}

void PlannerClient::cancel(int planner, std::uint64_t attempt) { send(at(planner), wt::Cancel{attempt}); }

void PlannerClient::fence(int planner, std::uint64_t attempt) { send(at(planner), wt::Fence{attempt}); }

// ---- Links.

void PlannerClient::connect(int planner) {
  Link& link = at(planner);
  if (!link.is_listed) return;
  link.sent_bytes = 0;
  link.unproven_submits.clear();
  link.is_up = false;
  link.is_draining = false;
  link.connecting_since = net::monotonic_now();
  std::optional<Poco::Net::SocketAddress> local;
  if (!self_.local_address.empty()) local.emplace(self_.local_address, 0);
  link.connection = net::Connection::connecting(reactor_, *this, net::parse_address(link.address),
                                                {kMaxInputBytes, output_.max_bytes, &output_}, local);
  link.connection->tag = static_cast<std::uint64_t>(planner);
}

void PlannerClient::on_connected(net::Connection& connection) {
  Link& link = at(static_cast<int>(connection.tag));
  counters_.add(Count::kTierLinks);
  link.last_message_at = net::monotonic_now();
  wt::Hello hello;
  hello.epoch = self_.epoch;
  hello.name = self_.name;
  hello.routes = self_.routes;
  send(link, hello);
}

std::size_t PlannerClient::on_input(net::Connection& connection, std::string_view bytes) {
  const int planner = static_cast<int>(connection.tag);
  std::size_t used = 0;
  while (connection.open()) {
    const wt::DecodedFrame frame = wt::decode_next_frame(bytes.substr(used));
    if (frame.state == wt::Framing::kNeedMore) break;
    used += frame.length;
    at(planner).last_message_at = net::monotonic_now();
    if (frame.state == wt::Framing::kBroken || !handle_message(planner, frame.message)) {
      counters_.add(Count::kTierInvalid);
      log_.warn("planners", "planner {}: invalid message, reconnecting", at(planner).address);
      connection.close(net::CloseReason::kBroken);
      return bytes.size();
    }
  }
  return used;
}

bool PlannerClient::handle_message(int planner, const wt::Message& message) {
  if (const auto* hello = std::get_if<wt::Hello>(&message)) return handle_hello(planner, *hello);
  Link& link = at(planner);
  if (!link.is_up) return false;
  if (const auto* answer = std::get_if<wt::Answer>(&message)) {
    events_.on_answer(planner, link.epoch, *answer);
  } else if (const auto* report = std::get_if<wt::LoadReport>(&message)) {
    events_.on_load_report(planner, *report);
  } else if (std::holds_alternative<wt::Draining>(message)) {
    link.is_draining = true;
    log_.info("planners", "planner {} is draining, no new requests are sent to it", link.address);
    events_.on_planner_draining(planner);
  } else {
    return std::holds_alternative<wt::Pong>(message);
  }
  return true;
}

bool PlannerClient::handle_hello(int planner, const wt::Hello& hello) {
  Link& link = at(planner);
  if (link.is_up || !hello.is_planner || hello.version != wt::kVersion) return false;
  link.is_up = true;
  link.epoch = hello.epoch;
  link.backoff = 0;
  log_.info("planners", "connected to planner {} ({}), {} cores", link.address, hello.name, hello.cores);
  events_.on_link_up(planner, hello.epoch, hello.window);
  return true;
}

void PlannerClient::on_end_of_input(net::Connection& connection) {
  connection.close(net::CloseReason::kBroken);
}

// The attempts whose frames were not completely written to a connection that has ended.
std::vector<std::uint64_t> PlannerClient::unwritten_attempts(const Link& link) {
  const std::uint64_t written =
      link.sent_bytes - std::min<std::uint64_t>(link.sent_bytes, link.connection->unsent_bytes());
  std::vector<std::uint64_t> unwritten;
  for (const UnprovenSubmit& submit : link.unproven_submits) {
    if (submit.end > written) unwritten.push_back(submit.attempt);
  }
  return unwritten;
}

void PlannerClient::on_end(net::Connection& connection, net::CloseReason /*reason*/) {
  const int planner = static_cast<int>(connection.tag);
  Link& link = at(planner);
  if (link.connection.get() != &connection) return;
  const std::vector<std::uint64_t> unwritten = unwritten_attempts(link);
  const bool was_up = link.is_up;
  const double delay =
      std::max(link.is_draining ? kDrainingBackoffSeconds : link.backoff, kMinBackoffSeconds);
  link.connection.reset();
  link.unproven_submits.clear();
  link.is_up = false;
  link.backoff = std::clamp(link.backoff * 2, kMinBackoffSeconds, kMaxBackoffSeconds);
  if (link.is_listed) link.reconnect_timer = reactor_.after(delay, [this, planner] { connect(planner); });
  if (!was_up) return;
  log_.info("planners", "planner {} disconnected", link.address);
  counters_.add(Count::kTierBroken);
  events_.on_link_lost(planner, unwritten);
}

bool PlannerClient::has_timed_out(const Link& link, double now) {
  if (!link.connection || !link.connection->open()) return false;
  return link.is_up ? now - link.last_message_at > kSilenceTimeoutSeconds
                    : now - link.connecting_since > kHelloTimeoutSeconds;
}

// If this process was paused, messages of planners that seem silent may be unread.
void PlannerClient::read_late_links(double now) {
  std::vector<std::shared_ptr<net::Connection>> late;  // reading may add links
  for (const auto& link : links_) {
    if (has_timed_out(*link, now)) late.push_back(link->connection);
  }
  for (const auto& connection : late) connection->read_now();
}

// Sends pings, and closes links that stall within a frame, or whose planner hangs or has stopped without
// closing them.
void PlannerClient::check_links() {
  const double now = net::monotonic_now();
  read_late_links(now);
  for (const auto& link : links_) {
    if (has_timed_out(*link, now)) {
      counters_.add(Count::kTierSilent);
      log_.warn("planners", "planner {}: no message within the timeout, reconnecting", link->address);
      link->connection->close(net::CloseReason::kBroken);
    } else if (link->is_up) {
      send(*link, wt::Ping{next_ping_++});
    }
  }
  check_timer_ = reactor_.after(kPingIntervalSeconds, [this] { check_links(); });
}

}  // namespace damsonspoke::peers

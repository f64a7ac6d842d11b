#include "peers/tier/planner_client.h"

#include <algorithm>
#include <limits>

#include "net/address.h"

namespace damsonspoke::peers {
namespace {

namespace wt = wire::tier;

constexpr std::size_t kInputBytes = wt::kMaxFrameBytes + wt::kHeaderBytes;
constexpr double kPing = 0.25;          // s; between pings, and looks at who is silent
constexpr double kSilence = 1;          // s without anything whole: the link is no good
constexpr double kConnectPatience = 1;  // s for a connection and its hello
constexpr double kFirstPause = 0.05;    // s before a link is opened again, doubled up to
constexpr double kMostPause = 1;        // s
constexpr double kLeftPause = 0.5;      // s; for one that has said that it leaves

}  // namespace

PlannerClient::PlannerClient(net::Reactor& reactor, Self self, std::size_t output_bytes,
                             PlannerEvents& events, Counters& counters, Logger& log)
    : reactor_(reactor),
      self_(std::move(self)),
      output_{output_bytes, 0},
      events_(events),
      counters_(counters),
      log_(log) {
  look();
}

PlannerClient::~PlannerClient() {
  reactor_.cancel(look_timer_);
  for (const auto& link : links_) reactor_.cancel(link->again);
  links_.clear();  // before the pool that they are charged to
}

void PlannerClient::add(const std::string& address) {
  net::parse_address(address);  // a wrong one is told at the start
  links_.push_back(std::make_unique<Link>());
  links_.back()->address = address;
  connect(static_cast<int>(links_.size()) - 1);
}

void PlannerClient::connect(int planner) {
  Link& link = at(planner);
  if (!link.wanted) return;
  link.given = 0;
  link.unproven.clear();
  link.greeted = link.leaving = false;
  link.began_at = net::monotonic_now();
  std::optional<Poco::Net::SocketAddress> from;
  if (!self_.from.empty()) from.emplace(self_.from, 0);
  link.connection = net::Connection::connecting(reactor_, *this, net::parse_address(link.address),
                                                {kInputBytes, output_.most, &output_}, from);
  link.connection->tag = static_cast<std::uint64_t>(planner);
}

void PlannerClient::on_connected(net::Connection& connection) {
  Link& link = at(static_cast<int>(connection.tag));
  counters_.add(Count::kTierLinks);
  link.heard_at = net::monotonic_now();
  wt::Hello hello;
  hello.epoch = self_.epoch;
  hello.name = self_.name;
  hello.routes = self_.types;
  put(link, hello);
}

bool PlannerClient::put(Link& link, const wt::Message& message) {
  if (!link.connection || !link.connection->open()) return false;
  const std::string bytes = wt::encode(message);
  link.connection->send(bytes);
  if (!link.connection->open()) return false;
  link.given += bytes.size();
  return true;
}

// What has left may have arrived; what has not, as a whole frame, has not.
void PlannerClient::submit(int planner, const wt::Submit& submit) {
  Link& link = at(planner);
  const bool given = put(link, submit);
  link.unproven.emplace_back(given ? link.given : std::numeric_limits<std::uint64_t>::max(), submit.attempt);
  if (!link.connection || !link.connection->open()) return;
  const std::uint64_t left = link.given - link.connection->waiting();
  while (!link.unproven.empty() && link.unproven.front().first <= left) link.unproven.pop_front();
}
void PlannerClient::cancel(int planner, std::uint64_t attempt) { put(at(planner), wt::Cancel{attempt}); }
void PlannerClient::fence(int planner, std::uint64_t attempt) { put(at(planner), wt::Fence{attempt}); }

void PlannerClient::remove(int planner) {
  at(planner).wanted = false;
  at(planner).leaving = true;
}

void PlannerClient::restore(int planner) {
  Link& link = at(planner);
  if (link.wanted) return;
  link.wanted = true;
  link.leaving = false;
  reactor_.cancel(link.again);
  // One whose connection is about to end is linked anew when that has been told.
  if (!link.connection) connect(planner);
}

void PlannerClient::close_if_draining(int planner) {
  Link& link = at(planner);
  if (link.leaving && link.connection && link.connection->open()) link.connection->close();
}

std::size_t PlannerClient::linked() const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [](const auto& link) { return link->greeted; }));
}

std::size_t PlannerClient::on_input(net::Connection& connection, std::string_view bytes) {
  const int planner = static_cast<int>(connection.tag);
  std::size_t used = 0;
  while (connection.open()) {
    const wt::DecodedFrame taken = wt::decode_next_frame(bytes.substr(used));
    if (taken.state == wt::Framing::kNeedMore) break;
    used += taken.length;
    at(planner).heard_at = net::monotonic_now();
    if (taken.state == wt::Framing::kBroken || !take(planner, taken.message)) {
      counters_.add(Count::kTierBad);
      log_.warn("planners", "{}: a message that can't be trusted, link opened anew", at(planner).address);
      connection.close(net::End::kBroken);
      return bytes.size();
    }
  }
  return used;
}

bool PlannerClient::take(int planner, const wt::Message& message) {
  Link& link = at(planner);
  if (const auto* hello = std::get_if<wt::Hello>(&message)) {
    if (link.greeted || !hello->is_planner || hello->version != wt::kVersion) return false;
    link.greeted = true;
    link.epoch = hello->epoch;
    link.pause = 0;
    log_.info("planners", "{} at {} is linked, {} cores", hello->name, link.address, hello->cores);
    events_.on_link_up(planner, hello->epoch, hello->window);
    return true;
  }
  if (!link.greeted) return false;
  if (const auto* answer = std::get_if<wt::Answer>(&message))
    return events_.on_answer(planner, link.epoch, *answer), true;
  if (const auto* window = std::get_if<wt::LoadReport>(&message))
    return events_.on_load_report(planner, *window), true;
  if (std::holds_alternative<wt::Draining>(message)) {
    link.leaving = true;
    log_.info("planners", "{} leaves", link.address);
    events_.on_planner_draining(planner);
    return true;
  }
  return std::holds_alternative<wt::Pong>(message);
}

void PlannerClient::on_end_of_input(net::Connection& connection) { connection.close(net::End::kBroken); }

void PlannerClient::on_end(net::Connection& connection, net::End /*why*/) {
  const int planner = static_cast<int>(connection.tag);
  Link& link = at(planner);
  if (link.connection.get() != &connection) return;
  const std::uint64_t left = link.given - std::min<std::uint64_t>(link.given, connection.unwritten());
  std::vector<std::uint64_t> unwritten;
  for (const auto& [end, attempt] : link.unproven) {
    if (end > left) unwritten.push_back(attempt);
  }
  const bool was_up = link.greeted;
  const double pause = link.leaving ? kLeftPause : link.pause;
  link.connection.reset();
  link.unproven.clear();
  link.greeted = false;
  link.pause = std::clamp(link.pause * 2, kFirstPause, kMostPause);
  if (link.wanted)
    link.again = reactor_.after(std::max(pause, kFirstPause), [this, planner] { connect(planner); });
  if (!was_up) return;
  log_.info("planners", "{}: link ended", link.address);
  counters_.add(Count::kTierBroken);
  events_.on_link_lost(planner, unwritten);
}

// Guards against a planner that hangs, a machine that is gone without an end, and a link that stalls in the
// middle of a frame.
void PlannerClient::look() {
  const double now = net::monotonic_now();
  for (const auto& link : links_) {
    if (!link->connection || !link->connection->open()) continue;
    const bool silent =
        link->greeted ? now - link->heard_at > kSilence : now - link->began_at > kConnectPatience;
    if (silent) {
      counters_.add(Count::kTierSilent);
      log_.warn("planners", "{}: silent, link opened anew", link->address);
      link->connection->close(net::End::kBroken);
    } else if (link->greeted) {
      put(*link, wt::Ping{next_ping_++});
    }
  }
  look_timer_ = reactor_.after(kPing, [this] { look(); });
}

}  // namespace damsonspoke::peers

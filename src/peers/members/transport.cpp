#include "peers/members/transport.h"

#include <Poco/Exception.h>
#include <Poco/Observer.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/address.h"
#include "wire/members.h"

namespace damsonspoke::peers {
namespace {

namespace wm = wire::members;
using members::MemberState;
using members::MemberStatus;

constexpr int kReadAtOnce = 256;              // datagrams; then the others get their turn
constexpr int kStaleAtOnce = 8192;            // after a pause: all that waited, as much as the system keeps
constexpr std::size_t kMostStreams = 4;       // exchanges at once
constexpr double kStreamPatience = 2;         // s for one to be whole, both ways
constexpr std::size_t kMostAddresses = 8192;  // kept as the system wants them
constexpr std::size_t kMostTold = 600;        // members in one answer to an operator

// As an address of a client; none where it is no address at all.
std::optional<conns::Address> plain(const Poco::Net::SocketAddress& address) {
  return conns::parse_address(address.host().toString());
}

}  // namespace

MembershipTransport::MembershipTransport(net::Reactor& reactor, const MembersOptions& options,
                                         const std::string& name, std::uint64_t epoch, std::uint64_t seed,
                                         Counters& counters, Logger& log)
    : reactor_(reactor),
      options_(options),
      counters_(counters),
      log_(log),
      view_({options.interval, options.suspicion, 3, 60, options.remember, 10, 30},
            {name, options.face, epoch}, options.seeds, seed, *this) {
  const Poco::Net::SocketAddress at = net::parse_address(options.bind);
  net::parse_address(options.face);
  for (const std::string& one : options.seeds) net::parse_address(one);
  try {
    socket_ = Poco::Net::DatagramSocket(at, false);
  } catch (const Poco::Exception& error) {
    throw std::runtime_error(fmt::format("members: cannot bind '{}': {}", options.bind, error.displayText()));
  }
  socket_.setBlocking(false);
  listener_ = std::make_unique<net::Listener>(reactor_, at, [this](const net::Accepted& a) { on_accept(a); });
  reactor_.addEventHandler(socket_, Poco::Observer<MembershipTransport, Poco::Net::ReadableNotification>(
                                        *this, &MembershipTransport::on_readable));
}

MembershipTransport::~MembershipTransport() {
  reactor_.cancel(timer_);
  for (auto& [tag, stream] : streams_) reactor_.cancel(stream.patience);
  reactor_.removeEventHandler(socket_, Poco::Observer<MembershipTransport, Poco::Net::ReadableNotification>(
                                           *this, &MembershipTransport::on_readable));
}

void MembershipTransport::begin() {
  begun_ = true;
  listener_->pause(false);
  view_.begin(net::monotonic_now());
  log_.info("members", "{} of cluster {} at {}, {} seeds", view_.self().name, options_.cluster, options_.face,
            options_.seeds.size());
  timer_ = reactor_.at(view_.wake(), [this] { tick(); });
}

void MembershipTransport::tick() {
  view_.on_timer(net::monotonic_now());
  reactor_.cancel(timer_);
  timer_ = reactor_.at(view_.wake(), [this] { tick(); });
}

void MembershipTransport::leave() {
  if (begun_) view_.leave(net::monotonic_now());
}

// ---- Datagrams.

bool MembershipTransport::is_peer(const Poco::Net::SocketAddress& address) const {
  const auto client = plain(address);
  return client && std::any_of(options_.peers.begin(), options_.peers.end(),
                               [&](const conns::Prefix& prefix) { return prefix.contains(*client); });
}

// Addresses come from what members tell of one another. Guards against being made to write to anybody else.
const Poco::Net::SocketAddress* MembershipTransport::resolved(const std::string& address) {
  const auto found = addresses_.find(address);
  if (found != addresses_.end()) return &found->second;
  try {
    const Poco::Net::SocketAddress parsed = net::parse_address(address);
    if (!is_peer(parsed)) return counters_.add(Count::kMembersStrangers), nullptr;
    if (addresses_.size() >= kMostAddresses) addresses_.clear();
    return &addresses_.emplace(address, parsed).first->second;
  } catch (const std::exception&) {
    counters_.add(Count::kMembersBad);
    return nullptr;
  }
}

bool MembershipTransport::may_reach(const std::string& address) const {
  try {
    return is_peer(net::parse_address(address));
  } catch (const std::exception&) {
    return false;
  }
}

void MembershipTransport::send(const std::string& address, const members::Message& message) {
  const Poco::Net::SocketAddress* to = resolved(address);
  if (to == nullptr) return;
  const std::string bytes = wm::encode(options_.cluster, message);
  // One that can't be sent now is lost, as datagrams are.
  if (::sendto(socket_.impl()->sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL, to->addr(),
               to->length()) < 0)
    return;
  counters_.add(Count::kMembersSent);
  counters_.add(Count::kMembersBytes, bytes.size());
}

void MembershipTransport::on_readable(Poco::Net::ReadableNotification* notification) {
  notification->release();
  if (!begun_) return;
  const double now = net::monotonic_now();
  // The view's own wake comes first: it notices whether this process stood still, and then all that waits is
  // from before.
  bool stale = false;
  if (now >= view_.wake()) {
    stale = view_.on_timer(now);
    reactor_.cancel(timer_);
    timer_ = reactor_.at(view_.wake(), [this] { tick(); });
  }
  char bytes[wm::kMostDatagram + 1];
  for (int i = 0; i < (stale ? kStaleAtOnce : kReadAtOnce); ++i) {
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    const ssize_t got = ::recvfrom(socket_.impl()->sockfd(), bytes, sizeof bytes, MSG_DONTWAIT,
                                   reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    const Poco::Net::SocketAddress source(reinterpret_cast<const sockaddr*>(&from), size);
    if (!is_peer(source)) {
      counters_.add(Count::kMembersStrangers);
      continue;
    }
    const wm::Read read = wm::decode(options_.cluster, {bytes, static_cast<std::size_t>(got)});
    if (read.problem != wm::Problem::kNone) {
      counters_.add(Count::kMembersBad);
      log_.debug("members", "a datagram from {}: {}", source.toString(), wm::text_of(read.problem));
      continue;
    }
    counters_.add(Count::kMembersRead);
    view_.on_message(source.toString(), read.message, now, stale);
  }
}

// ---- Full exchanges: who connects sends first, the other answers and closes.

MembershipTransport::Stream& MembershipTransport::add(std::shared_ptr<net::Connection> connection,
                                                      bool ours) {
  const std::uint64_t tag = next_tag_++;
  connection->tag = tag;
  Stream& stream = streams_[tag];
  stream.connection = std::move(connection);
  stream.ours = ours;
  stream.patience = reactor_.after(kStreamPatience, [this, tag] {
    const auto found = streams_.find(tag);
    if (found != streams_.end()) found->second.connection->close(net::End::kBroken);
  });
  return stream;
}

void MembershipTransport::exchange(const std::string& address) {
  const Poco::Net::SocketAddress* to = resolved(address);
  if (to == nullptr || streams_.size() >= kMostStreams) return;
  const Poco::Net::SocketAddress from(net::parse_address(options_.bind).host(), 0);
  const net::BufferLimits limits{wm::kMostExchange + 4, wm::kMostExchange + 4, nullptr};
  // Not from inside the view: a connection that is refused at once tells so on the next turn.
  add(net::Connection::connecting(reactor_, *this, *to, limits, from), true);
}

void MembershipTransport::on_accept(const net::Accepted& accepted) {
  const Poco::Net::SocketAddress source(
      reinterpret_cast<const sockaddr*>(&accepted.from),
      accepted.from.ss_family == AF_INET ? sizeof(sockaddr_in) : sizeof(sockaddr_in6));
  const net::BufferLimits limits{wm::kMostExchange + 4, wm::kMostExchange + 4, nullptr};
  auto connection = net::Connection::accepted(reactor_, *this, accepted.fd, limits);
  const bool peer = is_peer(source);
  if (!peer) counters_.add(Count::kMembersStrangers);
  const bool room = streams_.size() < 2 * kMostStreams;
  Stream& stream = add(std::move(connection), false);
  if (!peer || !room) stream.connection->close(net::End::kBroken);
}

void MembershipTransport::on_connected(net::Connection& connection) {
  const std::string bytes = wm::encode_exchange(options_.cluster, view_.full(net::monotonic_now()));
  counters_.add(Count::kMembersBytes, bytes.size());
  connection.send(bytes);
}

std::size_t MembershipTransport::on_input(net::Connection& connection, std::string_view bytes) {
  const auto found = streams_.find(connection.tag);
  if (found == streams_.end() || found->second.answered) return bytes.size();
  const wm::ReadExchange read = wm::decode_exchange(options_.cluster, bytes);
  if (read.problem != wm::Problem::kNone) {
    counters_.add(Count::kMembersBad);
    log_.debug("members", "an exchange: {}", wm::text_of(read.problem));
    connection.close(net::End::kBroken);
    return bytes.size();
  }
  if (!read.whole) return 0;
  found->second.answered = true;
  counters_.add(Count::kMembersExchanges);
  const double now = net::monotonic_now();
  if (!found->second.ours) {
    const std::string answer = wm::encode_exchange(options_.cluster, view_.full(now));
    counters_.add(Count::kMembersBytes, answer.size());
    connection.send(answer);
  }
  view_.on_exchange(read.records, now);
  // An answer that the system took at once has been sent: nothing tells so later, and the stream would hold
  // its place among the few there are until its patience ends.
  if (found->second.ours || connection.waiting() == 0) connection.close();
  return bytes.size();
}

void MembershipTransport::on_output_sent(net::Connection& connection) {
  const auto found = streams_.find(connection.tag);
  if (found != streams_.end() && !found->second.ours && found->second.answered) connection.close();
}
void MembershipTransport::on_end_of_input(net::Connection& connection) {
  const auto found = streams_.find(connection.tag);
  // Half an exchange is none; what is still to be sent to who has asked goes on.
  if (found == streams_.end() || !found->second.answered) connection.close(net::End::kBroken);
}
void MembershipTransport::on_end(net::Connection& connection, net::End /*why*/) {
  const auto found = streams_.find(connection.tag);
  if (found == streams_.end()) return;
  reactor_.cancel(found->second.patience);
  const bool failed = found->second.ours && !found->second.answered;
  streams_.erase(found);
  if (failed) view_.on_exchange_failed(net::monotonic_now());
}

// ---- What it tells.

void MembershipTransport::changed(const std::string& name, MemberState state, const std::string& why) {
  log_.event(Level::kInfo, "members", "a member's state",
             {{"member", name}, {"state", members::text_of(state)}, {"why", why}});
  if (change_told_ || !on_change) return;
  change_told_ = true;
  reactor_.post([this] {
    change_told_ = false;
    on_change();
  });
}

void MembershipTransport::noticed(const std::string& what) { log_.warn("members", "{}", what); }

void MembershipTransport::report() {
  const members::MembershipView::Counts& c = view_.counts();
  counters_.set(Count::kMembersDeaths, c.deaths);
  counters_.set(Count::kMembersPauses, c.pauses);
  counters_.set(Count::kMembersRefuted, c.refuted);
  counters_.set(Count::kMembersThere, view_.there() + 1);
}

std::vector<MemberStatus> MembershipTransport::seen() const { return view_.members(net::monotonic_now()); }

std::string MembershipTransport::told(bool json) const {
  const double now = net::monotonic_now();
  const std::vector<MemberStatus> all = view_.members(now);
  const auto broken = view_.broken_links(now);
  const members::Record self = view_.self_record(now);
  const auto dependency = [](members::DependencyState b) {
    static const char* const names[] = {"unknown", "well", "slow", "gone"};
    return names[static_cast<int>(b)];
  };
  if (json) {
    nlohmann::json page = {{"self",
                            {{"name", self.name},
                             {"address", self.address},
                             {"epoch", self.epoch},
                             {"incarnation", self.incarnation},
                             {"yielded", view_.yielded()},
                             {"fitness", view_.local_health()},
                             {"contest", self.contest}}},
                           {"there", view_.there() + 1},
                           {"known", all.size() + 1}};
    for (std::size_t i = 0; i < std::min(all.size(), kMostTold); ++i) {
      const MemberStatus& s = all[i];
      nlohmann::json one = {{"name", s.name},           {"address", s.address},
                            {"epoch", s.epoch},         {"state", members::text_of(s.state)},
                            {"since_s", now - s.since}, {"pause_s", s.pause}};
      if (!s.by.empty()) one["by"] = s.by;
      if (s.contest != 0) one["contest"] = s.contest;
      if (s.told) {
        one["told"] = {{"role", s.told->role},
                       {"zone", s.told->zone},
                       {"build", s.told->build},
                       {"generation", s.told->generation},
                       {"digest", s.told->digest},
                       {"room", s.told->room},
                       {"load", s.told->load},
                       {"sheds", s.told->sheds},
                       {"below", dependency(s.told->dependency)},
                       {"serves", s.told->serves}};
        one["told_age_s"] = s.told_age;
      }
      page["members"].push_back(std::move(one));
    }
    for (const members::ObservedLink& link : broken)
      page["broken_links"].push_back(
          {{"from", link.from}, {"to", link.to}, {"since_s", now - link.since}, {"told_by", link.told_by}});
    return page.dump() + "\n";
  }
  std::string out =
      fmt::format("{} at {}, life {}, {} of {} there{}{}\n\n", self.name, self.address, self.epoch,
                  view_.there() + 1, all.size() + 1, view_.yielded() ? "; YIELDED to an older one" : "",
                  view_.local_health() > 2 ? "; it may be ill itself" : "");
  out += fmt::format("{:<16}{:<11}{:>8}  {:<10}{:<10}{:>6}{:>6}{:>7}  {}\n", "member", "state", "since",
                     "role", "zone", "load", "room", "age", "why");
  for (std::size_t i = 0; i < std::min(all.size(), kMostTold); ++i) {
    const MemberStatus& s = all[i];
    std::string why;
    if (!s.by.empty()) why = fmt::format("silent to {}", fmt::join(s.by, " "));
    if (s.contest != 0) why += " has a clone";
    if (s.pause > 0) why += fmt::format(" stood still {:.1f} s", s.pause);
    const std::string age = s.told ? fmt::format("{:.1f}s", s.told_age) : "old";
    out += fmt::format("{:<16}{:<11}{:>7.1f}s  {:<10}{:<10}{:>6}{:>6}{:>7}  {}\n", s.name,
                       members::text_of(s.state), now - s.since, s.told ? s.told->role : "-",
                       s.told ? s.told->zone : "-", s.told ? fmt::format("{}%", s.told->load / 10) : "-",
                       s.told ? fmt::format("{}", s.told->room) : "-", age, why);
  }
  if (all.size() > kMostTold) out += fmt::format("and {} more\n", all.size() - kMostTold);
  if (!broken.empty()) out += "\nbroken links\n";
  for (const members::ObservedLink& link : broken)
    out +=
        fmt::format("    {} -> {} for {:.1f} s, by {}\n", link.from, link.to, now - link.since, link.told_by);
  return out;
}

}  // namespace damsonspoke::peers

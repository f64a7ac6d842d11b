#include "peers/members/transport.h"

#include <Poco/Exception.h>
#include <Poco/Observer.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>

#include "net/address.h"
#include "peers/members/status_page.h"
#include "wire/members.h"

namespace damsonspoke::peers {
namespace {

namespace wm = wire::members;
using members::MemberState;
using members::MemberStatus;

constexpr int kMaxDatagramsPerIteration = 256;
constexpr int kMaxStaleDatagrams = 8192;  // in the event-loop iteration after a pause: all that are queued
constexpr std::size_t kMaxPushPulls = 4;  // started by this member; twice as many in total
constexpr double kPushPullTimeoutSeconds = 2;  // for both directions
constexpr std::size_t kMaxResolvedAddresses = 8192;
constexpr std::size_t kPushPullBufferBytes = wm::kMaxPushPullBytes + wm::kLengthBytes;

members::MembershipOptions membership_options(const MembersOptions& options) {
  members::MembershipOptions membership;
  membership.probe_interval = options.probe_interval;
  membership.min_suspicion_timeout = options.suspicion_timeout;
  membership.dead_retention = options.dead_retention;
  return membership;
}

// Returns none for an address that is neither IPv4 nor IPv6.
std::optional<conns::Address> client_address(const Poco::Net::SocketAddress& address) {
  return conns::parse_address(address.host().toString());
}

}  // namespace

MembershipTransport::MembershipTransport(net::Reactor& reactor, const MembersOptions& options,
                                         const std::string& name, std::uint64_t epoch,
                                         std::uint64_t random_seed, Counters& counters, Logger& log)
    : reactor_(reactor),
      options_(options),
      counters_(counters),
      log_(log),
      view_(membership_options(options), {name, options.advertised_address, epoch}, options.seeds,
            random_seed, *this) {
  const Poco::Net::SocketAddress bind_address = net::parse_address(options.bind);
  net::parse_address(options.advertised_address);
  for (const std::string& seed : options.seeds) net::parse_address(seed);
  try {
    socket_ = Poco::Net::DatagramSocket(bind_address, false);
  } catch (const Poco::Exception& error) {
    throw std::runtime_error(fmt::format("members: cannot bind '{}': {}", options.bind, error.displayText()));
  }
  socket_.setBlocking(false);
  listener_ = std::make_unique<net::Listener>(reactor_, bind_address,
                                              [this](const net::Accepted& accepted) { on_accept(accepted); });
  reactor_.addEventHandler(socket_, Poco::Observer<MembershipTransport, Poco::Net::ReadableNotification>(
                                        *this, &MembershipTransport::on_readable));
}

MembershipTransport::~MembershipTransport() {
  reactor_.cancel(timer_);
  for (auto& [tag, push_pull] : push_pulls_) reactor_.cancel(push_pull.timeout);
  reactor_.removeEventHandler(socket_, Poco::Observer<MembershipTransport, Poco::Net::ReadableNotification>(
                                           *this, &MembershipTransport::on_readable));
}

void MembershipTransport::start() {
  is_started_ = true;
  view_.start(net::monotonic_now());
  log_.info("members", "membership started as {} in cluster {}, advertised address {}, {} seeds",
            view_.self().name, options_.cluster, options_.advertised_address, options_.seeds.size());
  schedule_timer();
}

void MembershipTransport::on_timer() {
  view_.on_timer(net::monotonic_now());
  schedule_timer();
}

void MembershipTransport::schedule_timer() {
  reactor_.cancel(timer_);
  timer_ = reactor_.at(view_.next_timer_at(), [this] { on_timer(); });
}

void MembershipTransport::leave() {
  if (is_started_) view_.leave(net::monotonic_now());
}

// ---- Addresses.

bool MembershipTransport::is_allowed(const Poco::Net::SocketAddress& address) const {
  const auto client = client_address(address);
  return client && std::any_of(options_.peers.begin(), options_.peers.end(),
                               [&](const conns::Prefix& prefix) { return prefix.contains(*client); });
}

// Members report the addresses of one another: a forged address must not make this member send to a host
// outside the configured networks.
const Poco::Net::SocketAddress* MembershipTransport::resolve(const std::string& address) {
  const auto found = resolved_addresses_.find(address);
  if (found != resolved_addresses_.end()) return &found->second;
  try {
    const Poco::Net::SocketAddress parsed = net::parse_address(address);
    if (!is_allowed(parsed)) {
      counters_.add(Count::kMembersUnknownSenders);
      return nullptr;
    }
    if (resolved_addresses_.size() >= kMaxResolvedAddresses) resolved_addresses_.clear();
    return &resolved_addresses_.emplace(address, parsed).first->second;
  } catch (const std::exception&) {
    counters_.add(Count::kMembersInvalid);
    return nullptr;
  }
}

bool MembershipTransport::may_reach(const std::string& address) const {
  try {
    return is_allowed(net::parse_address(address));
  } catch (const std::exception&) {
    return false;
  }
}

// ---- Datagrams.

void MembershipTransport::send(const std::string& address, const members::Message& message) {
  const Poco::Net::SocketAddress* to = resolve(address);
  if (to == nullptr) return;
  const std::string bytes = wm::encode(options_.cluster, message);
  const ssize_t sent = ::sendto(socket_.impl()->sockfd(), bytes.data(), bytes.size(),
                                MSG_DONTWAIT | MSG_NOSIGNAL, to->addr(), to->length());
  if (sent < 0) return;  // treated as lost; any datagram may be
  counters_.add(Count::kMembersSent);
  counters_.add(Count::kMembersBytes, bytes.size());
}

void MembershipTransport::on_readable(Poco::Net::ReadableNotification* notification) {
  notification->release();
  if (!is_started_) return;
  const double now = net::monotonic_now();
  // The view's timer runs first: it detects whether this process was paused; then all queued datagrams are
  // stale.
  bool is_stale = false;
  if (now >= view_.next_timer_at()) {
    is_stale = view_.on_timer(now);
    schedule_timer();
  }
  const int limit = is_stale ? kMaxStaleDatagrams : kMaxDatagramsPerIteration;
  for (int i = 0; i < limit; ++i) {
    if (!receive_datagram(now, is_stale)) return;
  }
}

// Returns whether a datagram was waiting.
bool MembershipTransport::receive_datagram(double now, bool is_stale) {
  // The additional byte shows that a datagram is too long.
  std::array<char, wm::kMaxDatagramBytes + 1> buffer;
  sockaddr_storage from{};
  socklen_t size = sizeof from;
  const ssize_t received = ::recvfrom(socket_.impl()->sockfd(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                                      reinterpret_cast<sockaddr*>(&from), &size);
  if (received < 0) return false;
  const Poco::Net::SocketAddress source(reinterpret_cast<const sockaddr*>(&from), size);
  if (!is_allowed(source)) {
    counters_.add(Count::kMembersUnknownSenders);
    return true;
  }
  const wm::DecodedMessage decoded =
      wm::decode(options_.cluster, {buffer.data(), static_cast<std::size_t>(received)});
  if (decoded.error != wm::DecodeError::kNone) {
    counters_.add(Count::kMembersInvalid);
    log_.debug("members", "invalid membership datagram from {}: {}", source.toString(),
               wm::text_of(decoded.error));
    return true;
  }
  counters_.add(Count::kMembersRead);
  view_.on_message(source.toString(), decoded.message, now, is_stale);
  return true;
}

// ---- Push-pulls.

MembershipTransport::PushPull& MembershipTransport::add_push_pull(std::shared_ptr<net::Connection> connection,
                                                                  bool is_initiator) {
  const std::uint64_t tag = next_tag_++;
  connection->tag = tag;
  PushPull& push_pull = push_pulls_[tag];
  push_pull.connection = std::move(connection);
  push_pull.is_initiator = is_initiator;
  push_pull.timeout = reactor_.after(kPushPullTimeoutSeconds, [this, tag] {
    const auto found = push_pulls_.find(tag);
    if (found != push_pulls_.end()) found->second.connection->close(net::CloseReason::kBroken);
  });
  return push_pull;
}

MembershipTransport::PushPull* MembershipTransport::find_push_pull(const net::Connection& connection) {
  const auto found = push_pulls_.find(connection.tag);
  return found == push_pulls_.end() ? nullptr : &found->second;
}

void MembershipTransport::start_push_pull(const std::string& address) {
  const Poco::Net::SocketAddress* to = resolve(address);
  if (to == nullptr || push_pulls_.size() >= kMaxPushPulls) return;
  const Poco::Net::SocketAddress from(net::parse_address(options_.bind).host(), 0);
  const net::BufferLimits limits{kPushPullBufferBytes, kPushPullBufferBytes, nullptr};
  // A connection that is refused immediately reports this in a later event-loop iteration, so the view is not
  // re-entered.
  add_push_pull(net::Connection::connecting(reactor_, *this, *to, limits, from), true);
}

void MembershipTransport::on_accept(const net::Accepted& accepted) {
  const Poco::Net::SocketAddress source(
      reinterpret_cast<const sockaddr*>(&accepted.from),
      accepted.from.ss_family == AF_INET ? sizeof(sockaddr_in) : sizeof(sockaddr_in6));
  const net::BufferLimits limits{kPushPullBufferBytes, kPushPullBufferBytes, nullptr};
  auto connection = net::Connection::accepted(reactor_, *this, accepted.fd, limits);
  const bool is_known_network = is_allowed(source);
  if (!is_known_network) counters_.add(Count::kMembersUnknownSenders);
  const bool has_capacity = push_pulls_.size() < 2 * kMaxPushPulls;
  PushPull& push_pull = add_push_pull(std::move(connection), false);
  if (!is_known_network || !has_capacity) push_pull.connection->close(net::CloseReason::kBroken);
}

void MembershipTransport::send_records(net::Connection& connection, double now) {
  const std::string bytes = wm::encode_push_pull(options_.cluster, view_.full_state(now));
  counters_.add(Count::kMembersBytes, bytes.size());
  connection.send(bytes);
}

void MembershipTransport::on_connected(net::Connection& connection) {
  send_records(connection, net::monotonic_now());
}

std::size_t MembershipTransport::on_input(net::Connection& connection, std::string_view bytes) {
  PushPull* push_pull = find_push_pull(connection);
  if (push_pull == nullptr || push_pull->is_complete) return bytes.size();
  const wm::DecodedPushPull decoded = wm::decode_push_pull(options_.cluster, bytes);
  if (decoded.error != wm::DecodeError::kNone) {
    counters_.add(Count::kMembersInvalid);
    log_.debug("members", "invalid push-pull, connection closed: {}", wm::text_of(decoded.error));
    connection.close(net::CloseReason::kBroken);
    return bytes.size();
  }
  if (!decoded.is_complete) return 0;
  push_pull->is_complete = true;
  counters_.add(Count::kMembersPushPulls);
  const double now = net::monotonic_now();
  const bool is_initiator = push_pull->is_initiator;
  if (!is_initiator) send_records(connection, now);
  view_.on_push_pull(decoded.records, now);
  // If the kernel accepted the whole answer, on_output_sent() is not called, and the push-pull would stay
  // open until its timeout.
  if (is_initiator || connection.pending_output_bytes() == 0) connection.close();
  return bytes.size();
}

void MembershipTransport::on_output_sent(net::Connection& connection) {
  const PushPull* push_pull = find_push_pull(connection);
  if (push_pull != nullptr && !push_pull->is_initiator && push_pull->is_complete) connection.close();
}

// An answer that is still being sent is completed.
void MembershipTransport::on_end_of_input(net::Connection& connection) {
  const PushPull* push_pull = find_push_pull(connection);
  if (push_pull == nullptr || !push_pull->is_complete) connection.close(net::CloseReason::kBroken);
}

void MembershipTransport::on_end(net::Connection& connection, net::CloseReason /*reason*/) {
  PushPull* push_pull = find_push_pull(connection);
  if (push_pull == nullptr) return;
  reactor_.cancel(push_pull->timeout);
  const bool has_failed = push_pull->is_initiator && !push_pull->is_complete;
  push_pulls_.erase(connection.tag);
  if (has_failed) view_.on_push_pull_failed(net::monotonic_now());
}

// ---- Reports of the view, and queries.

void MembershipTransport::on_state_changed(const std::string& name, MemberState state,
                                           members::StateChangeReason reason) {
  log_.event(Level::kInfo, "members", "member state changed",
             {{"member", name}, {"state", members::text_of(state)}, {"reason", members::text_of(reason)}});
  if (is_change_posted_ || !on_change) return;
  is_change_posted_ = true;
  reactor_.post([this] {
    is_change_posted_ = false;
    on_change();
  });
}

void MembershipTransport::on_notice(const members::Notice& notice) {
  log_.warn("members", "{}", members::text_of(notice));
}

void MembershipTransport::report() {
  const members::MembershipView::Counts& counts = view_.counts();
  counters_.set(Count::kMembersDeaths, counts.deaths);
  counters_.set(Count::kMembersPauses, counts.pauses);
  counters_.set(Count::kMembersRefuted, counts.refutations);
  counters_.set(Count::kMembersAlive, view_.alive_count() + 1);
}

std::vector<MemberStatus> MembershipTransport::known_members() const {
  return view_.members(net::monotonic_now());
}

std::string MembershipTransport::status(bool as_json) const {
  const double now = net::monotonic_now();
  return as_json ? status_json(view_, now) : status_table(view_, now);
}

}  // namespace damsonspoke::peers

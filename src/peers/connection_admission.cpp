#include "peers/connection_admission.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "conns/known_clients_record.h"
#include "net/lingering_close.h"

namespace damsonspoke::peers {
namespace {

constexpr double kMaxReadSeconds = 0.25;  // by which an unresponsive folder may delay startup
constexpr double kRejectionMessagesPerSecond = 50;
constexpr double kRejectionMessageBurst = 50;
constexpr double kTableCheckSeconds = 0.25;
constexpr std::size_t kMaxEvictionsPerCheck = 64;

// When the process has run out of descriptors, the table is shrunk to fewer connections than are open.
constexpr std::size_t kSpareDescriptors = 4;  // for reloading, storing and draining
constexpr std::size_t kMinTableSize = 8;
constexpr double kShortageSeconds = 5;  // after the last shortage until the table grows again
constexpr double kGrowthFactor = 1.1;   // at each check

conns::Address address_of(const sockaddr_storage& from) {
  conns::Address address;
  if (from.ss_family == AF_INET6) {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(from);
    std::copy_n(v6.sin6_addr.s6_addr, address.bytes.size(), address.bytes.begin());
  } else if (from.ss_family == AF_INET) {
    const auto& v4 = reinterpret_cast<const sockaddr_in&>(from);
    address.bytes[10] = 0xff;
    address.bytes[11] = 0xff;
    std::copy_n(reinterpret_cast<const std::uint8_t*>(&v4.sin_addr.s_addr), 4, address.bytes.begin() + 12);
  }
  return address;
}

std::size_t configured_connections(const ConnectionAdmissionOptions& options, std::size_t max_connections) {
  return options.connections == 0 ? max_connections : std::min(max_connections, options.connections);
}

// As `damsonspoke conns` prints it.
const char* text_of(conns::Standing standing) {
  switch (standing) {
    case conns::Standing::kUnknown: return "stranger";
    case conns::Standing::kKnown: return "known";
    case conns::Standing::kListed: return "listed";
  }
  return "";
}

}  // namespace

ConnectionAdmission::ConnectionAdmission(net::Reactor& reactor, const ConnectionAdmissionOptions& options,
                                         std::size_t max_connections, const std::vector<double>& shares,
                                         std::vector<double> priority_weights, Counters& counters,
                                         Logger& log)
    : reactor_(reactor),
      options_(options),
      max_connections_(max_connections),
      priority_weights_(std::move(priority_weights)),
      counters_(counters),
      log_(log),
      quota_(configured_connections(options, max_connections), shares),
      known_clients_(options.known),
      limiter_(options.limiter, quota_, known_clients_),
      listeners_(shares.size()),
      rejection_messages_(1, kRejectionMessagesPerSecond, kRejectionMessageBurst) {
  check_table();
}

ConnectionAdmission::~ConnectionAdmission() {
  reactor_.cancel(write_timer_);
  reactor_.cancel(check_timer_);
}

void ConnectionAdmission::register_listener(std::size_t listener, net::OutputPool& output, Evict evict,
                                            RejectionMessage rejection_message) {
  listeners_[listener] = {&output, std::move(evict), std::move(rejection_message)};
}

// ---- Known clients.

void ConnectionAdmission::load_known_clients() {
  if (options_.known_folder.empty()) return;
  known_clients_file_ = std::make_unique<store::PersistedFile>(
      [folder = options_.known_folder] { return store::open_folder(folder); }, "clients",
      conns::kKnownClientsFormat, conns::kMaxKnownClientsBytes);
  write_timer_ = reactor_.after(options_.known_interval, [this] { write_known_clients(); });
  const std::optional<store::ChecksummedContent> read = known_clients_file_->read(kMaxReadSeconds);
  if (!read)
    return log_.warn("admission", "record of known clients not read in time; all clients are unknown");
  if (read->problem != store::ChecksumProblem::kNone) {
    return log_.event(Level::kInfo, "admission", "no known clients",
                      {{"why", store::text_of(read->problem)}});
  }
  const auto clients = conns::decode_known_clients(read->content);
  if (!clients) return log_.warn("admission", "record of known clients is invalid; all clients are unknown");
  const std::size_t restored = known_clients_.restore(*clients, net::unix_now());
  log_.event(Level::kInfo, "admission", "known clients restored",
             {{"taken", restored}, {"recorded", clients->size()}});
}

void ConnectionAdmission::write_known_clients() {
  if (known_clients_file_ == nullptr) return;
  known_clients_file_->write(conns::encode_known_clients(known_clients_.entries()));
  if (const std::optional<std::string> error = known_clients_file_->take_write_error()) {
    log_.event(Level::kWarning, "admission",
               error->empty() ? "known clients saved again" : "known clients not saved", {{"why", *error}});
  }
  write_timer_ = reactor_.after(options_.known_interval, [this] { write_known_clients(); });
}

void ConnectionAdmission::save_known_clients() {
  if (known_clients_file_ == nullptr) return;
  known_clients_file_->write(conns::encode_known_clients(known_clients_.entries()));
}

void ConnectionAdmission::reconfigure(const ConnectionAdmissionOptions& options) {
  if (options.known_folder != options_.known_folder || options.enabled != options_.enabled)
    log_.warn("admission", "changes of enabled and known-folder take effect at the next start only");
  const std::string folder = options_.known_folder;
  options_ = options;
  options_.known_folder = folder;
  options_.enabled = true;
  quota_.resize(configured_connections(options, max_connections_));
  known_clients_.reconfigure(options.known);
  limiter_.reconfigure(options.limiter, net::monotonic_now());
}

// ---- New connections.

bool ConnectionAdmission::admit(std::size_t listener, std::uint64_t tag, const net::Accepted& accepted) {
  const conns::Address from = address_of(accepted.from);
  const conns::AdmissionResult result = limiter_.admit(tag, listener, from, net::monotonic_now(),
                                                       net::unix_now(), accepted.uses_reserved_descriptor);
  if (accepted.uses_reserved_descriptor) on_descriptor_shortage();
  if (!result.is_admitted) {
    counters_.add(Count::kCallersRejected);
    reject(listeners_[listener], accepted, result.retry_after);
    return false;
  }
  if (result.evicts) evict(*result.evicts);
  charge_to_client_pool(listener, tag, from);
  return true;
}

void ConnectionAdmission::charge_to_client_pool(std::size_t listener, std::uint64_t tag,
                                                const conns::Address& from) {
  const PoolKey key{listener, conns::client_of(from)};
  net::OutputPool& all = *listeners_[listener].output;
  ClientPool& client = pools_[key];
  if (client.connections++ == 0) {
    const double max_bytes = static_cast<double>(all.max_bytes) * options_.client_output;
    client.pool = {static_cast<std::size_t>(max_bytes), 0, &all};
  }
  pool_key_by_tag_.emplace(tag, key);
}

net::OutputPool* ConnectionAdmission::output_pool(std::uint64_t tag) {
  const auto found = pool_key_by_tag_.find(tag);
  return found == pool_key_by_tag_.end() ? nullptr : &pools_.at(found->second).pool;
}

void ConnectionAdmission::evict(std::uint64_t tag) {
  counters_.add(Count::kCallersEvicted);
  for (const Listener& listener : listeners_) {
    if (listener.evict) listener.evict(tag);
  }
  limiter_.on_closed(tag);  // its place is free at once; its end is reported in the next event-loop iteration
}

// Sends the rejection message with the time to retry to a limited number of clients per second. The others
// are reset, which costs neither side anything.
void ConnectionAdmission::reject(const Listener& listener, const net::Accepted& accepted,
                                 double retry_after) {
  const double now = net::monotonic_now();
  if (listener.rejection_message && rejection_messages_.has_capacity({}, now)) {
    rejection_messages_.add({}, now);
    const std::string message = listener.rejection_message(retry_after);
    static_cast<void>(::send(accepted.fd, message.data(), message.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    // A reset would discard the message in transit, so the close lingers, except on the reserved
    // descriptor, which must be freed at once.
    if (!accepted.uses_reserved_descriptor) return net::LingeringClose::begin(reactor_, accepted.fd);
    ::shutdown(accepted.fd, SHUT_WR);
  } else {
    const linger reset_at_once{1, 0};
    ::setsockopt(accepted.fd, SOL_SOCKET, SO_LINGER, &reset_at_once, sizeof reset_at_once);
  }
  ::close(accepted.fd);
}

// The process has run out of descriptors, whatever its limits say. The table is shrunk to the number of
// open connections, less a few descriptors for other parts of the process; otherwise the reserve for known
// clients could not be used.
void ConnectionAdmission::on_descriptor_shortage() {
  counters_.add(Count::kAdmissionLastDescriptor);
  const double now = net::monotonic_now();
  const std::size_t open = limiter_.open_count();
  if (last_shortage_at_ < 0 || now - last_shortage_at_ > kShortageSeconds) {
    log_.event(Level::kWarning, "admission", "out of descriptors; connection table shrunk", {{"open", open}});
  }
  last_shortage_at_ = now;
  const std::size_t shrunk = open - std::min(open, kSpareDescriptors);
  quota_.resize(std::max(kMinTableSize, std::min(quota_.total(), shrunk)));
  reactor_.post([this] { evict_excess(); });
}

void ConnectionAdmission::evict_excess() {
  std::vector<conns::ConnectionId> excess = limiter_.excess_connections(net::monotonic_now());
  excess.resize(std::min(excess.size(), kMaxEvictionsPerCheck));
  for (const conns::ConnectionId id : excess) evict(id);
}

// Grows a table that was shrunk, and evicts idle connections beyond a lowered limit, a few at a time.
void ConnectionAdmission::check_table() {
  const std::size_t configured = configured_connections(options_, max_connections_);
  const std::size_t total = quota_.total();
  if (total < configured && net::monotonic_now() - last_shortage_at_ > kShortageSeconds) {
    const auto grown = static_cast<std::size_t>(static_cast<double>(total) * kGrowthFactor) + 1;
    quota_.resize(std::min(configured, grown));
  }
  evict_excess();
  check_timer_ = reactor_.after(kTableCheckSeconds, [this] { check_table(); });
}

// ---- Events of connections.

void ConnectionAdmission::on_success(std::uint64_t tag, int route) {
  const auto index = static_cast<std::size_t>(route);
  const double priority_weight = index < priority_weights_.size() ? priority_weights_[index] : 0;
  limiter_.on_success(tag, priority_weight, net::monotonic_now(), net::unix_now());
}

void ConnectionAdmission::penalize(std::uint64_t tag, conns::Penalty penalty) {
  counters_.add(Count::kAdmissionPenalties);
  limiter_.penalize(tag, penalty, net::monotonic_now());
}

void ConnectionAdmission::on_closed(std::uint64_t tag) {
  limiter_.on_closed(tag);
  const auto found = pool_key_by_tag_.find(tag);
  if (found == pool_key_by_tag_.end()) return;
  const auto pool = pools_.find(found->second);
  if (pool != pools_.end() && --pool->second.connections == 0) pools_.erase(pool);
  pool_key_by_tag_.erase(found);
}

// ---- For operators.

std::string ConnectionAdmission::report(std::size_t max_clients) const {
  const double now = net::monotonic_now();
  std::string out = fmt::format(
      "connections open={} most={} strangers={} strangers_most={} known={} shed={} rate_error={:.2f}\n",
      limiter_.open_count(), quota_.total(), limiter_.unknown_count(), limiter_.max_unknown(),
      known_clients_.size(), limiter_.evicted_count(), limiter_.rate_error(now));
  for (std::size_t i = 0; i < listeners_.size(); ++i)
    out += fmt::format("front {} open={} floor={}\n", i, quota_.open_count(i), quota_.guaranteed(i));
  for (std::size_t i = 1; i < conns::kRejectCauseCount; ++i) {
    const auto cause = static_cast<conns::RejectCause>(i);
    const std::uint64_t rejected = limiter_.rejected_count(cause);
    if (rejected > 0) out += fmt::format("turned_away {}=\"{}\"\n", rejected, conns::text_of(cause));
  }
  std::size_t shown = 0;
  for (const auto& client : limiter_.client_summaries(now, net::unix_now())) {
    if (shown++ == max_clients) break;
    out += fmt::format("client {} open={} busy={} standing={} earned={:.0f} wasted={:.1f}\n",
                       conns::text_of(client.client), client.open, client.busy, text_of(client.standing),
                       client.success_score, client.penalty_score);
  }
  for (const conns::Rejection& rejection : limiter_.recent_rejections()) {
    out += fmt::format("refused {} {:.3f} s ago: {}\n", conns::text_of(rejection.client), now - rejection.at,
                       conns::text_of(rejection.cause));
  }
  return out;
}

}  // namespace damsonspoke::peers

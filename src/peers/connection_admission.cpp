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

constexpr double kReadPatience = 0.25;               // s; a folder that hangs costs a start no more than this
constexpr double kWordsRate = 50, kWordsBurst = 50;  // who is turned away and told why, a second
constexpr double kLookOver = 0.25;                   // s; between looks at connections beyond a lowered limit
constexpr std::size_t kShedAtOnce = 64;              // of them

constexpr std::size_t kLeftFree =
    4;  // descriptors that a table which met the system's bound leaves to others
constexpr std::size_t kLeastTable = 8;  // connections; with fewer nobody could be told from anybody
constexpr double kScarceFor = 5;        // s without meeting it until the table grows again
constexpr double kGrows = 1.1;          // x a look, then

conns::Address address_of(const sockaddr_storage& from) {
  conns::Address out;
  if (from.ss_family == AF_INET6) {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(from);
    std::copy_n(v6.sin6_addr.s6_addr, out.bytes.size(), out.bytes.begin());
  } else if (from.ss_family == AF_INET) {
    const auto& v4 = reinterpret_cast<const sockaddr_in&>(from);
    out.bytes[10] = out.bytes[11] = 0xff;
    std::copy_n(reinterpret_cast<const std::uint8_t*>(&v4.sin_addr.s_addr), 4, out.bytes.begin() + 12);
  }
  return out;
}

std::size_t allowed(const GateOptions& options, std::size_t most) {
  return options.connections == 0 ? most : std::min(most, options.connections);
}

const char* text_of(conns::Standing standing) {
  switch (standing) {
    case conns::Standing::kUnknown: return "stranger";
    case conns::Standing::kKnown: return "known";
    case conns::Standing::kListed: return "listed";
  }
  return "";
}

}  // namespace

ConnectionAdmission::ConnectionAdmission(net::Reactor& reactor, const GateOptions& options,
                                         std::size_t connections, const std::vector<double>& floors,
                                         std::vector<double> priority_weight, Counters& counters, Logger& log)
    : reactor_(reactor),
      options_(options),
      max_connections_(connections),
      priority_weights_(std::move(priority_weight)),
      counters_(counters),
      log_(log),
      quota_(allowed(options, connections), floors),
      known_(options.known),
      limiter_(options.limiter, quota_, known_),
      listeners_(floors.size()),
      rejection_text_rate_(1, kWordsRate, kWordsBurst) {
  check_table();
}

ConnectionAdmission::~ConnectionAdmission() {
  reactor_.cancel(write_timer_);
  reactor_.cancel(check_timer_);
}

void ConnectionAdmission::register_listener(std::size_t listener, net::OutputPool& output, Evict shed,
                                            RejectionText rejection_text) {
  listeners_[listener] = {&output, std::move(shed), std::move(rejection_text)};
}

// ---- Who is known.
void ConnectionAdmission::load_known_clients() {
  if (options_.known_folder.empty()) return;
  known_clients_file_ = std::make_unique<store::PersistedFile>(
      [folder = options_.known_folder] { return store::open_folder(folder); }, "clients",
      conns::kKnownClientsFormat, conns::kMaxKnownClientsBytes);
  write_timer_ = reactor_.after(options_.known_interval, [this] { write_known_clients(); });
  const std::optional<store::ChecksummedContent> read = known_clients_file_->read(kReadPatience);
  if (!read) return log_.warn("admission", "known clients not read in time, all clients are unknown");
  if (read->problem != store::ChecksumProblem::kNone)
    return log_.event(Level::kInfo, "admission", "no known clients",
                      {{"why", store::text_of(read->problem)}});
  const auto clients = conns::decode_known_clients(read->content);
  if (!clients)
    return log_.warn("admission", "the record of known clients is invalid, all clients are unknown");
  const std::size_t taken = known_.restore(*clients, net::unix_now());
  log_.event(Level::kInfo, "admission", "known clients", {{"taken", taken}, {"recorded", clients->size()}});
}

void ConnectionAdmission::write_known_clients() {
  if (known_clients_file_ == nullptr) return;
  known_clients_file_->write(conns::encode_known_clients(known_.entries()));
  if (const std::optional<std::string> trouble = known_clients_file_->take_trouble())
    log_.event(Level::kWarning, "admission",
               trouble->empty() ? "known clients written again" : "known clients not written",
               {{"why", *trouble}});
  write_timer_ = reactor_.after(options_.known_interval, [this] { write_known_clients(); });
}

void ConnectionAdmission::save_known_clients() {
  if (known_clients_file_ != nullptr)
    known_clients_file_->write(conns::encode_known_clients(known_.entries()));
}

void ConnectionAdmission::reconfigure(const GateOptions& options) {
  if (options.known_folder != options_.known_folder || options.enabled != options_.enabled)
    log_.warn("admission", "enabled and known-folder take effect at the next start only");
  const std::string folder = options_.known_folder;
  options_ = options;
  options_.known_folder = folder;
  options_.enabled = true;
  quota_.resize(allowed(options, max_connections_));
  known_.reconfigure(options.known);
  limiter_.reconfigure(options.limiter, net::monotonic_now());
}

// ---- Newcomers.
bool ConnectionAdmission::admit(std::size_t listener, std::uint64_t tag, const net::Accepted& accepted) {
  const conns::Address from = address_of(accepted.from);
  const double now = net::monotonic_now();
  const conns::AdmissionResult arrival =
      limiter_.admit(tag, listener, from, now, net::unix_now(), accepted.scarce);
  if (accepted.scarce) shrink_table();
  if (!arrival.admitted) {
    counters_.add(Count::kCallersTurnedAway);
    reject(listeners_[listener], accepted, arrival.retry_after);
    return false;
  }
  if (arrival.evicts) evict(*arrival.evicts);
  const PoolKey key{listener, conns::client_of(from)};
  net::OutputPool& all = *listeners_[listener].output;
  ClientPool& mine = pools_[key];
  if (mine.users++ == 0)
    mine.pool = {static_cast<std::size_t>(static_cast<double>(all.most) * options_.client_output), 0, &all};
  pool_key_by_tag_.emplace(tag, key);
  return true;
}

net::OutputPool* ConnectionAdmission::output_pool(std::uint64_t tag) {
  const auto found = pool_key_by_tag_.find(tag);
  return found == pool_key_by_tag_.end() ? nullptr : &pools_.at(found->second).pool;
}

void ConnectionAdmission::evict(std::uint64_t tag) {
  counters_.add(Count::kCallersEvicted);
  for (const Listener& listener : listeners_) {
    if (listener.shed) listener.shed(tag);
  }
  limiter_.on_closed(tag);  // its place is free now; the connection's end comes on the next turn
}

// A few are told when to come back; the others are reset, which costs neither side anything.
void ConnectionAdmission::reject(const Listener& listener, const net::Accepted& accepted,
                                 double retry_after) {
  const double now = net::monotonic_now();
  if (listener.rejection_text && rejection_text_rate_.has_capacity({}, now)) {
    rejection_text_rate_.add({}, now);
    const std::string text = listener.rejection_text(retry_after);
    static_cast<void>(::send(accepted.fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    // Guards against rejection_text that a reset takes with it, but never holds the last descriptor for it.
    if (!accepted.scarce) return net::LingeringClose::begin(reactor_, accepted.fd);
    ::shutdown(accepted.fd, SHUT_WR);
  } else {
    const linger at_once{1, 0};
    ::setsockopt(accepted.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  ::close(accepted.fd);
}

// The system has no descriptor left, whatever the limits say: the table is as large as it is, less a few that
// a reload, a store or a drain may need. Guards against a reserve for known clients that is only on paper.
void ConnectionAdmission::shrink_table() {
  counters_.add(Count::kGateScarce);
  const double now = net::monotonic_now();
  if (last_shortage_at_ < 0 || now - last_shortage_at_ > kScarceFor)
    log_.event(Level::kWarning, "admission", "no descriptor left, the table shrinks",
               {{"open", limiter_.open_count()}});
  last_shortage_at_ = now;
  const std::size_t open = limiter_.open_count();
  quota_.resize(std::max(kLeastTable, std::min(quota_.total(), open - std::min(open, kLeftFree))));
  reactor_.post([this] { evict_excess(); });
}

void ConnectionAdmission::evict_excess() {
  std::vector<conns::ConnectionId> beyond = limiter_.excess_connections(net::monotonic_now());
  beyond.resize(std::min(beyond.size(), kShedAtOnce));
  for (const conns::ConnectionId id : beyond) evict(id);
}

// A limit that was lowered under what is open: who has outstayed its time goes, a few a look.
void ConnectionAdmission::check_table() {
  const std::size_t most = allowed(options_, max_connections_), total = quota_.total();
  if (total < most && net::monotonic_now() - last_shortage_at_ > kScarceFor)
    quota_.resize(std::min(most, static_cast<std::size_t>(static_cast<double>(total) * kGrows) + 1));
  evict_excess();
  check_timer_ = reactor_.after(kLookOver, [this] { check_table(); });
}

// ---- What connections do.
void ConnectionAdmission::on_success(std::uint64_t tag, int type) {
  const auto at = static_cast<std::size_t>(type);
  const double priority_weight = at < priority_weights_.size() ? priority_weights_[at] : 0;
  limiter_.on_success(tag, priority_weight, net::monotonic_now(), net::unix_now());
}

void ConnectionAdmission::penalize(std::uint64_t tag, conns::Penalty how) {
  counters_.add(Count::kGateWasted);
  limiter_.penalize(tag, how, net::monotonic_now());
}

void ConnectionAdmission::on_closed(std::uint64_t tag) {
  limiter_.on_closed(tag);
  const auto found = pool_key_by_tag_.find(tag);
  if (found == pool_key_by_tag_.end()) return;
  const auto of = pools_.find(found->second);
  if (of != pools_.end() && --of->second.users == 0) pools_.erase(of);
  pool_key_by_tag_.erase(found);
}

// ---- For operators.
std::string ConnectionAdmission::report(std::size_t most) const {
  const double now = net::monotonic_now();
  std::string out = fmt::format(
      "connections open={} most={} strangers={} strangers_most={} known={} shed={} rate_error={:.2f}\n",
      limiter_.open_count(), quota_.total(), limiter_.unknown_count(), limiter_.max_unknown(), known_.size(),
      limiter_.evicted_count(), limiter_.rate_error(now));
  for (std::size_t i = 0; i < listeners_.size(); ++i)
    out += fmt::format("front {} open={} floor={}\n", i, quota_.open_count(i), quota_.guaranteed(i));
  for (std::size_t i = 1; i < conns::kRejectCauseCount; ++i) {
    const auto why = static_cast<conns::RejectCause>(i);
    if (limiter_.rejected_count(why) > 0)
      out += fmt::format("turned_away {}=\"{}\"\n", limiter_.rejected_count(why), conns::text_of(why));
  }
  std::size_t shown = 0;
  for (const auto& client : limiter_.client_summaries(now, net::unix_now())) {
    if (shown++ == most) break;
    out += fmt::format("client {} open={} busy={} standing={} earned={:.0f} wasted={:.1f}\n",
                       conns::text_of(client.client), client.open, client.busy, text_of(client.standing),
                       client.success_score, client.penalty_score);
  }
  for (const auto& refused : limiter_.recent_rejections())
    out += fmt::format("refused {} {:.3f} s ago: {}\n", conns::text_of(refused.client), now - refused.at,
                       conns::text_of(refused.why));
  return out;
}

}  // namespace damsonspoke::peers

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
    case conns::Standing::kUnknownClient: return "stranger";
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
      most_connections_(connections),
      importance_(std::move(priority_weight)),
      counters_(counters),
      log_(log),
      share_(allowed(options, connections), floors),
      known_(options.known),
      gate_(options.limiter, share_, known_),
      fronts_(floors.size()),
      words_(1, kWordsRate, kWordsBurst) {
  look_over();
}

ConnectionAdmission::~ConnectionAdmission() {
  reactor_.cancel(keep_timer_);
  reactor_.cancel(look_timer_);
}

void ConnectionAdmission::serve(std::size_t front, net::OutputPool& output, Shed shed, Words words) {
  fronts_[front] = {&output, std::move(shed), std::move(words)};
}

// ---- Who is known.
void ConnectionAdmission::begin() {
  if (options_.known_folder.empty()) return;
  kept_ = std::make_unique<store::PersistedFile>(
      [folder = options_.known_folder] { return store::open_folder(folder); }, "clients", conns::kKnownForm,
      conns::kMostKnownBytes);
  keep_timer_ = reactor_.after(options_.known_interval, [this] { keep_known(); });
  const std::optional<store::ChecksummedContent> read = kept_->read(kReadPatience);
  if (!read) return log_.warn("door", "known clients not read in time, all are strangers");
  if (read->problem != store::ChecksumProblem::kNone)
    return log_.event(Level::kInfo, "door", "no known clients", {{"why", store::text_of(read->problem)}});
  const auto clients = conns::decode_known(read->content);
  if (!clients) return log_.warn("door", "the record of known clients is none, all are strangers");
  const std::size_t taken = known_.begin_with(*clients, net::unix_now());
  log_.event(Level::kInfo, "door", "known clients", {{"taken", taken}, {"recorded", clients->size()}});
}

void ConnectionAdmission::keep_known() {
  if (kept_ == nullptr) return;
  kept_->write(conns::encode(known_.all()));
  if (const std::optional<std::string> trouble = kept_->take_write_error())
    log_.event(Level::kWarning, "door",
               trouble->empty() ? "known clients written again" : "known clients not written",
               {{"why", *trouble}});
  keep_timer_ = reactor_.after(options_.known_interval, [this] { keep_known(); });
}

void ConnectionAdmission::leaving() {
  if (kept_ != nullptr) kept_->write(conns::encode(known_.all()));
}

void ConnectionAdmission::reconfigure(const GateOptions& options) {
  if (options.known_folder != options_.known_folder || options.enabled != options_.enabled)
    log_.warn("door", "enabled and known-folder are taken at the next start only");
  const std::string folder = options_.known_folder;
  options_ = options;
  options_.known_folder = folder;
  options_.enabled = true;
  share_.resize(allowed(options, most_connections_));
  known_.reconfigure(options.known);
  gate_.reconfigure(options.limiter, net::monotonic_now());
}

// ---- Newcomers.
bool ConnectionAdmission::lets_in(std::size_t front, std::uint64_t tag, const net::Accepted& accepted) {
  const conns::Address from = address_of(accepted.from);
  const double now = net::monotonic_now();
  const conns::Arrival arrival = gate_.arrive(tag, front, from, now, net::unix_now(), accepted.scarce);
  if (accepted.scarce) scarce();
  if (!arrival.in) {
    counters_.add(Count::kCallersTurnedAway);
    turn_away(fronts_[front], accepted, arrival.retry_after);
    return false;
  }
  if (arrival.sheds) shed(*arrival.sheds);
  const PoolKey key{front, conns::client_of(from)};
  net::OutputPool& all = *fronts_[front].output;
  ClientPool& mine = pools_[key];
  if (mine.users++ == 0)
    mine.pool = {static_cast<std::size_t>(static_cast<double>(all.most) * options_.client_output), 0, &all};
  pool_of_.emplace(tag, key);
  return true;
}

net::OutputPool* ConnectionAdmission::pool(std::uint64_t tag) {
  const auto found = pool_of_.find(tag);
  return found == pool_of_.end() ? nullptr : &pools_.at(found->second).pool;
}

void ConnectionAdmission::shed(std::uint64_t tag) {
  counters_.add(Count::kCallersEvicted);
  for (const Front& front : fronts_) {
    if (front.shed) front.shed(tag);
  }
  gate_.ended(tag);  // its place is free now; the connection's end comes on the next turn
}

// A few are told when to come back; the others are reset, which costs neither side anything.
void ConnectionAdmission::turn_away(const Front& front, const net::Accepted& accepted, double retry_after) {
  const double now = net::monotonic_now();
  if (front.words && words_.room({}, now)) {
    words_.take({}, now);
    const std::string text = front.words(retry_after);
    static_cast<void>(::send(accepted.fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    // Guards against words that a reset takes with it, but never holds the last descriptor for it.
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
void ConnectionAdmission::scarce() {
  counters_.add(Count::kGateScarce);
  const double now = net::monotonic_now();
  if (scarce_at_ < 0 || now - scarce_at_ > kScarceFor)
    log_.event(Level::kWarning, "door", "no descriptor left, the table shrinks", {{"open", gate_.open()}});
  scarce_at_ = now;
  const std::size_t open = gate_.open();
  share_.resize(std::max(kLeastTable, std::min(share_.total(), open - std::min(open, kLeftFree))));
  reactor_.post([this] { shed_beyond(); });
}

void ConnectionAdmission::shed_beyond() {
  std::vector<conns::ConnId> beyond = gate_.beyond(net::monotonic_now());
  beyond.resize(std::min(beyond.size(), kShedAtOnce));
  for (const conns::ConnId id : beyond) shed(id);
}

// A limit that was lowered under what is open: who has outstayed its time goes, a few a look.
void ConnectionAdmission::look_over() {
  const std::size_t most = allowed(options_, most_connections_), total = share_.total();
  if (total < most && net::monotonic_now() - scarce_at_ > kScarceFor)
    share_.resize(std::min(most, static_cast<std::size_t>(static_cast<double>(total) * kGrows) + 1));
  shed_beyond();
  look_timer_ = reactor_.after(kLookOver, [this] { look_over(); });
}

// ---- What connections do.
void ConnectionAdmission::succeeded(std::uint64_t tag, int type) {
  const auto at = static_cast<std::size_t>(type);
  const double priority_weight = at < importance_.size() ? importance_[at] : 0;
  gate_.succeeded(tag, priority_weight, net::monotonic_now(), net::unix_now());
}

void ConnectionAdmission::wasted(std::uint64_t tag, conns::Penalty how) {
  counters_.add(Count::kGateWasted);
  gate_.wasted(tag, how, net::monotonic_now());
}

void ConnectionAdmission::ended(std::uint64_t tag) {
  gate_.ended(tag);
  const auto found = pool_of_.find(tag);
  if (found == pool_of_.end()) return;
  const auto of = pools_.find(found->second);
  if (of != pools_.end() && --of->second.users == 0) pools_.erase(of);
  pool_of_.erase(found);
}

// ---- For operators.
std::string ConnectionAdmission::report(std::size_t most) const {
  const double now = net::monotonic_now();
  std::string out = fmt::format(
      "connections open={} most={} strangers={} strangers_most={} known={} shed={} rate_error={:.2f}\n",
      gate_.open(), share_.total(), gate_.strangers(), gate_.strangers_most(), known_.size(), gate_.shed(),
      gate_.rate_error(now));
  for (std::size_t i = 0; i < fronts_.size(); ++i)
    out += fmt::format("front {} open={} floor={}\n", i, share_.open(i), share_.floor(i));
  for (std::size_t i = 1; i < conns::kTurnedKinds; ++i) {
    const auto why = static_cast<conns::RejectCause>(i);
    if (gate_.refused(why) > 0)
      out += fmt::format("turned_away {}=\"{}\"\n", gate_.refused(why), conns::text_of(why));
  }
  std::size_t shown = 0;
  for (const auto& client : gate_.clients(now, net::unix_now())) {
    if (shown++ == most) break;
    out += fmt::format("client {} open={} busy={} standing={} earned={:.0f} wasted={:.1f}\n",
                       conns::text_of(client.client), client.open, client.busy, text_of(client.standing),
                       client.earned, client.points);
  }
  for (const auto& refused : gate_.last_refused())
    out += fmt::format("refused {} {:.3f} s ago: {}\n", conns::text_of(refused.client), now - refused.at,
                       conns::text_of(refused.why));
  return out;
}

}  // namespace damsonspoke::peers

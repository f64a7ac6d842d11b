// Simulated floods without sockets, by a seed: known clients, honest unknown clients and a flood of one of
// several shapes against a connection limiter, with a checker of what the limiter promises. The first promise
// that is broken is reported.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "conns/connection_limiter.h"

namespace damsonspoke::standins {

using conns::Address, conns::AdmissionResult, conns::ConnectionId, conns::ConnectionLimiter,
    conns::ConnectionLimiterOptions, conns::KnownClients, conns::KnownClientsOptions, conns::ConnectionQuota,
    conns::Standing, conns::RejectCause, conns::Penalty;

constexpr double kUnix = 1.7e9;  // s; the Unix time at which plays begin

inline Address v4(unsigned a, unsigned b, unsigned c, unsigned d) {
  Address out;
  out.bytes[10] = out.bytes[11] = 0xff;
  const unsigned parts[] = {a, b, c, d};
  for (std::size_t i = 0; i < 4; ++i) out.bytes[12 + i] = static_cast<std::uint8_t>(parts[i]);
  return out;
}

class GateFlood {
 public:
  explicit GateFlood(std::uint64_t seed, bool tell) : random_(seed), tell_(tell) {
    total_ = 40 + random_() % 200;
    ConnectionLimiterOptions options;
    options.clients = 64 + random_() % 128;  // far fewer than addresses
    options.reserve = 0.15 + chance() * 0.35;
    quota_ = std::make_unique<ConnectionQuota>(total_, std::vector<double>{1});
    known_ = std::make_unique<KnownClients>(KnownClientsOptions{7 * 86400, 5, 256});
    limiter_ = std::make_unique<ConnectionLimiter>(options, *quota_, *known_);
    reserve_ = total_ - limiter_->max_unknown();
    known_clients_ = 1 + random_() % 12;
    for (unsigned n = 0; n < known_clients_; ++n)
      for (int i = 0; i < 10; ++i) known_->record_success(client_of(known_address(n)), kUnix);
    flood_addresses_ = random_() % 3 == 0 ? 1 : 1 + static_cast<unsigned>(random_() % 20000);
    is_spread_ = random_() % 2 == 0;
    flood_per_second_ = 20 + chance() * 3000;
    shape_ = static_cast<int>(random_() % 5);
  }

  // Empty: nothing broke.
  std::string play() {
    double next_flood = 0, next_known = 0.05, next_honest = 0.1, next_look = 0.25;
    while (now_ < 7 && broken_.empty()) {
      const double next = std::min(
          {next_flood, next_known, next_honest, next_look, ends_.empty() ? 99 : ends_.begin()->first});
      now_ = next;
      if (!ends_.empty() && ends_.begin()->first <= next) {
        const auto [at, what] = *ends_.begin();
        ends_.erase(ends_.begin());
        what();
      } else if (next == next_flood) {
        attack();
        next_flood += -std::log(1 - chance()) / flood_per_second_;
        if (next_flood > kFloodEnds) next_flood = 99;
      } else if (next == next_known) {
        known_client_connects();
        next_known += 0.02 + chance() * 0.05;
      } else if (next == next_honest) {
        unknown_client_connects();
        next_honest += 0.05 + chance() * 0.1;
      } else {
        next_look += 0.25;
      }
      check();
    }
    if (!broken_.empty()) return broken_;
    // Who is nobody fares no worse than the flood does, and once it has ended he gets in.
    const double share = static_cast<double>(flood_in) / flood_asked, expected = share * honest_asked;
    if (expected > 20 && honest_in < expected / 2) fail("strangers fare worse than the flood");
    if (later_in < later_asked) fail("strangers stay locked out after the flood");
    return broken_;
  }
  int known_in = 0, known_asked = 0, honest_in = 0, honest_asked = 0, flood_in = 0, flood_asked = 0;
  int later_in = 0, later_asked = 0;

 private:
  static constexpr double kFloodEnds = 4;  // s
  double chance() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }
  Address known_address(unsigned n) { return v4(172, 16, 0, n + 1); }
  void fail(const std::string& text) {
    if (broken_.empty()) broken_ = text;
  }
  void at(double time, std::function<void()> what) { ends_.emplace(time, std::move(what)); }
  void end(ConnectionId id) {
    limiter_->on_closed(id);
    open_.erase(id);
  }
  ConnectionId arrive(const Address& from, bool is_known, bool& in) {
    const ConnectionId id = ++last_;
    const std::size_t before = limiter_->open_count();
    const AdmissionResult a = limiter_->admit(id, 0, from, now_, kUnix + now_);
    if (tell_)
      std::printf("%.4f %s %s%s\n", now_, text_of(client_of(from)).c_str(),
                  a.is_admitted ? "in" : text_of(a.cause), a.evicts ? ", sheds" : "");
    in = a.is_admitted;
    if (a.evicts) {
      const auto shed = open_.find(*a.evicts);
      if (shed == open_.end()) return fail("shed what is not open"), 0;
      if (shed->second.busy) fail("shed a connection that is busy");
      if (shed->second.is_known && !is_known) fail("a stranger moved a known client");
      end(*a.evicts);
    }
    if (a.is_admitted) open_[id] = {is_known, false};
    if (!a.is_admitted && before != limiter_->open_count()) fail("a refusal changed what is open");
    return a.is_admitted ? id : 0;
  }
  void attack() {
    const auto n = static_cast<unsigned>(random_() % flood_addresses_);
    const Address from = is_spread_ ? v4(10, n % 256, n / 256, 1) : v4(10, 0, n / 256, n % 256);
    bool in = false;
    ++flood_asked;
    const ConnectionId id = arrive(from, false, in);
    if (!in) return;
    ++flood_in;
    switch (shape_) {
      case 0: break;  // silent, for good
      case 1:         // connects and resets
        at(now_ + 0.001, [this, id] {
          if (open_.contains(id)) limiter_->penalize(id, Penalty::kReset, now_), end(id);
        });
        break;
      case 2:  // half a request, dripped
        at(now_ + 0.75, [this, id] {
          if (open_.contains(id)) limiter_->penalize(id, Penalty::kIncompleteRequest, now_), end(id);
        });
        break;
      case 3:  // asks something now and then, and stays
        limiter_->on_request_read(id, now_);
        break;
      default:  // holds requests open: it can't be shed
        limiter_->on_request_read(id, now_);
        limiter_->set_busy(id, true);
        open_[id].busy = true;
        at(now_ + 0.5 + chance(), [this, id] {
          if (open_.contains(id)) limiter_->set_busy(id, false), open_[id].busy = false;
        });
    }
  }
  void known_client_connects() {
    const unsigned n = static_cast<unsigned>(random_() % known_clients_);
    // As many as the reserve has room for, and as its own share allows.
    if (known_open_ >= std::min<std::size_t>(reserve_, total_ / 2) ||
        known_open_of_[n] >= std::max<std::size_t>(1, total_ / 2 - 1))
      return;
    bool in = false;
    ++known_asked;
    const ConnectionId id = arrive(known_address(n), true, in);
    if (!in) return fail("a known client was refused though its reserve is not used up");
    ++known_in, ++known_open_, ++known_open_of_[n];
    limiter_->on_request_read(id, now_);
    limiter_->set_busy(id, true);
    open_[id].busy = true;
    at(now_ + 0.02 + chance() * 0.3, [this, id, n] {
      --known_open_, --known_open_of_[n];
      if (!open_.contains(id)) return fail("a known client's busy connection went");
      limiter_->on_success(id, 1, now_, kUnix + now_);
      end(id);
    });
  }
  void unknown_client_connects() {
    bool in = false;
    const bool later = now_ > kFloodEnds + 2;  // all that it held open is over by then
    ++(later ? later_asked : honest_asked);
    const ConnectionId id =
        arrive(v4(192, 168, static_cast<unsigned>(random_() % 4), static_cast<unsigned>(random_() % 200)),
               false, in);
    if (!in) return;
    ++(later ? later_in : honest_in);
    limiter_->on_request_read(id, now_);
    at(now_ + 0.1, [this, id] {
      if (open_.contains(id)) end(id);
    });
  }
  void check() {
    if (limiter_->open_count() != open_.size()) fail("what the gate holds is not what is open");
    if (limiter_->open_count() > total_) fail("more open than there are places");
    if (limiter_->unknown_count() > limiter_->max_unknown()) fail("strangers beyond their share");
    if (quota_->open_count(0) != limiter_->open_count()) fail("share and gate differ");
  }
  struct Open {
    bool is_known = false, busy = false;
  };
  pcg64 random_;
  const bool tell_;
  std::size_t total_ = 0, reserve_ = 0, known_open_ = 0;
  unsigned known_clients_ = 1, flood_addresses_ = 1;
  bool is_spread_ = false;
  double flood_per_second_ = 0, now_ = 0;
  int shape_ = 0;
  std::unique_ptr<ConnectionQuota> quota_;
  std::unique_ptr<KnownClients> known_;
  std::unique_ptr<ConnectionLimiter> limiter_;
  std::map<ConnectionId, Open> open_;
  std::map<unsigned, std::size_t> known_open_of_;
  std::multimap<double, std::function<void()>> ends_;
  ConnectionId last_ = 0;
  std::string broken_;
};

}  // namespace damsonspoke::standins

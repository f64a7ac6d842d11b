// Simulated floods of connections, drawn from a seed and without sockets: known clients, unknown clients and
// a flood of one of several shapes against a connection limiter. Checks the limiter's guarantees and reports
// the first violation.
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

constexpr double kUnixStartSeconds = 1.7e9;  // s; the Unix time at which simulations begin

inline Address v4(unsigned a, unsigned b, unsigned c, unsigned d) {
  Address out;
  out.bytes[10] = out.bytes[11] = 0xff;
  const unsigned parts[] = {a, b, c, d};
  for (std::size_t i = 0; i < 4; ++i) out.bytes[12 + i] = static_cast<std::uint8_t>(parts[i]);
  return out;
}

class ConnectionFloodSim {
 public:
  explicit ConnectionFloodSim(std::uint64_t seed, bool prints_trace)
      : random_(seed), prints_trace_(prints_trace) {
    max_connections_ = 40 + random_() % 200;
    ConnectionLimiterOptions options;
    options.clients = 64 + random_() % 128;  // far fewer than addresses
    options.reserve = 0.15 + random_unit() * 0.35;
    quota_ = std::make_unique<ConnectionQuota>(max_connections_, std::vector<double>{1});
    known_ = std::make_unique<KnownClients>(KnownClientsOptions{7 * 86400, 5, 256});
    limiter_ = std::make_unique<ConnectionLimiter>(options, *quota_, *known_);
    reserved_connections_ = max_connections_ - limiter_->max_unknown();
    known_client_count_ = 1 + random_() % 12;
    for (unsigned n = 0; n < known_client_count_; ++n)
      for (int i = 0; i < 10; ++i) known_->record_success(client_of(known_address(n)), kUnixStartSeconds);
    flood_address_count_ = random_() % 3 == 0 ? 1 : 1 + static_cast<unsigned>(random_() % 20000);
    is_spread_ = random_() % 2 == 0;
    flood_per_second_ = 20 + random_unit() * 3000;
    shape_ = static_cast<int>(random_() % 5);
  }

  // Runs the simulation; returns the first violation, empty if there is none.
  std::string run() {
    double next_flood = 0, next_known = 0.05, next_unknown = 0.1, next_check = 0.25;
    while (now_ < 7 && violation_.empty()) {
      const double next = std::min(
          {next_flood, next_known, next_unknown, next_check, timers_.empty() ? 99 : timers_.begin()->first});
      now_ = next;
      if (!timers_.empty() && timers_.begin()->first <= next) {
        const auto [time, action] = *timers_.begin();
        timers_.erase(timers_.begin());
        action();
      } else if (next == next_flood) {
        flood_client_connects();
        next_flood += -std::log(1 - random_unit()) / flood_per_second_;
        if (next_flood > kFloodEndSeconds) next_flood = 99;
      } else if (next == next_known) {
        known_client_connects();
        next_known += 0.02 + random_unit() * 0.05;
      } else if (next == next_unknown) {
        unknown_client_connects();
        next_unknown += 0.05 + random_unit() * 0.1;
      } else {
        next_check += 0.25;
      }
      check();
    }
    if (!violation_.empty()) return violation_;
    // Unknown clients outside of the flood are admitted at least half as often as the flood's, and always
    // after the flood has ended.
    const double share = static_cast<double>(flood_admitted) / flood_attempted,
                 expected_admissions = share * unknown_attempted;
    if (expected_admissions > 20 && unknown_admitted < expected_admissions / 2)
      record_violation("unknown clients were admitted less than half as often as the flood");
    if (late_unknown_admitted < late_unknown_attempted)
      record_violation("an unknown client was rejected after the flood");
    return violation_;
  }
  int known_admitted = 0, known_attempted = 0, unknown_admitted = 0, unknown_attempted = 0,
      flood_admitted = 0, flood_attempted = 0;
  int late_unknown_admitted = 0, late_unknown_attempted = 0;

 private:
  static constexpr double kFloodEndSeconds = 4;  // s
  double random_unit() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }
  Address known_address(unsigned n) { return v4(172, 16, 0, n + 1); }
  void record_violation(const std::string& text) {
    if (violation_.empty()) violation_ = text;
  }
  void schedule(double time, std::function<void()> action) { timers_.emplace(time, std::move(action)); }
  void close(ConnectionId id) {
    limiter_->on_closed(id);
    open_.erase(id);
  }
  ConnectionId connect(const Address& from, bool is_known, bool& is_admitted) {
    const ConnectionId id = ++last_id_;
    const std::size_t open_before = limiter_->open_count();
    const AdmissionResult result = limiter_->admit(id, 0, from, now_, kUnixStartSeconds + now_);
    if (prints_trace_)
      std::printf("%.4f %s %s%s\n", now_, text_of(client_of(from)).c_str(),
                  result.is_admitted ? "admitted" : text_of(result.cause), result.evicts ? ", evicts" : "");
    is_admitted = result.is_admitted;
    if (result.evicts) {
      const auto evicted = open_.find(*result.evicts);
      if (evicted == open_.end()) return record_violation("evicted a connection that is not open"), 0;
      if (evicted->second.is_busy) record_violation("evicted a busy connection");
      if (evicted->second.is_known && !is_known) record_violation("an unknown client evicted a known client");
      close(*result.evicts);
    }
    if (result.is_admitted) open_[id] = {is_known, false};
    if (!result.is_admitted && open_before != limiter_->open_count())
      record_violation("a rejection changed the number of open connections");
    return result.is_admitted ? id : 0;
  }
  void flood_client_connects() {
    const auto n = static_cast<unsigned>(random_() % flood_address_count_);
    const Address from = is_spread_ ? v4(10, n % 256, n / 256, 1) : v4(10, 0, n / 256, n % 256);
    bool is_admitted = false;
    ++flood_attempted;
    const ConnectionId id = connect(from, false, is_admitted);
    if (!is_admitted) return;
    ++flood_admitted;
    switch (shape_) {
      case 0: break;  // stays silent
      case 1:         // is reset
        schedule(now_ + 0.001, [this, id] {
          if (open_.contains(id)) limiter_->penalize(id, Penalty::kReset, now_), close(id);
        });
        break;
      case 2:  // sends an incomplete request
        schedule(now_ + 0.75, [this, id] {
          if (open_.contains(id)) limiter_->penalize(id, Penalty::kIncompleteRequest, now_), close(id);
        });
        break;
      case 3:  // completes a request and stays open
        limiter_->on_request_read(id, now_);
        break;
      default:  // keeps requests in flight, so it can't be evicted
        limiter_->on_request_read(id, now_);
        limiter_->set_busy(id, true);
        open_[id].is_busy = true;
        schedule(now_ + 0.5 + random_unit(), [this, id] {
          if (open_.contains(id)) limiter_->set_busy(id, false), open_[id].is_busy = false;
        });
    }
  }
  void known_client_connects() {
    const unsigned n = static_cast<unsigned>(random_() % known_client_count_);
    // Stays within the reserve's capacity and the client's own share.
    if (open_known_ >= std::min<std::size_t>(reserved_connections_, max_connections_ / 2) ||
        open_by_known_client_[n] >= std::max<std::size_t>(1, max_connections_ / 2 - 1))
      return;
    bool is_admitted = false;
    ++known_attempted;
    const ConnectionId id = connect(known_address(n), true, is_admitted);
    if (!is_admitted) return record_violation("a known client was rejected while the reserve had capacity");
    ++known_admitted, ++open_known_, ++open_by_known_client_[n];
    limiter_->on_request_read(id, now_);
    limiter_->set_busy(id, true);
    open_[id].is_busy = true;
    schedule(now_ + 0.02 + random_unit() * 0.3, [this, id, n] {
      --open_known_, --open_by_known_client_[n];
      if (!open_.contains(id)) return record_violation("the busy connection of a known client was closed");
      limiter_->on_success(id, 1, now_, kUnixStartSeconds + now_);
      close(id);
    });
  }
  void unknown_client_connects() {
    bool is_admitted = false;
    const bool is_after_flood = now_ > kFloodEndSeconds + 2;  // its busy connections are idle by then
    ++(is_after_flood ? late_unknown_attempted : unknown_attempted);
    const ConnectionId id =
        connect(v4(192, 168, static_cast<unsigned>(random_() % 4), static_cast<unsigned>(random_() % 200)),
                false, is_admitted);
    if (!is_admitted) return;
    ++(is_after_flood ? late_unknown_admitted : unknown_admitted);
    limiter_->on_request_read(id, now_);
    schedule(now_ + 0.1, [this, id] {
      if (open_.contains(id)) close(id);
    });
  }
  void check() {
    if (limiter_->open_count() != open_.size())
      record_violation("the limiter's connections differ from the open ones");
    if (limiter_->open_count() > max_connections_) record_violation("more connections open than the limit");
    if (limiter_->unknown_count() > limiter_->max_unknown())
      record_violation("unknown clients exceed their share");
    if (quota_->open_count(0) != limiter_->open_count())
      record_violation("the quota's count differs from the limiter's");
  }
  struct OpenConnection {
    bool is_known = false, is_busy = false;
  };
  pcg64 random_;
  const bool prints_trace_;
  std::size_t max_connections_ = 0, reserved_connections_ = 0, open_known_ = 0;
  unsigned known_client_count_ = 1, flood_address_count_ = 1;
  bool is_spread_ = false;
  double flood_per_second_ = 0, now_ = 0;
  int shape_ = 0;
  std::unique_ptr<ConnectionQuota> quota_;
  std::unique_ptr<KnownClients> known_;
  std::unique_ptr<ConnectionLimiter> limiter_;
  std::map<ConnectionId, OpenConnection> open_;
  std::map<unsigned, std::size_t> open_by_known_client_;
  std::multimap<double, std::function<void()>> timers_;
  ConnectionId last_id_ = 0;
  std::string violation_;
};

}  // namespace damsonspoke::standins

// The connection limiter without sockets: step by step, and in simulated floods with seeds. CTest compares
// with tests/traces/conns_NAME.txt. usage: connection_limiter_traces steps|floods, or
// connection_limiter_traces floods SEED
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "connection_flood_sim.h"
#include "conns/connection_limiter.h"

using namespace damsonspoke::conns;
using damsonspoke::standins::ConnectionFloodSim;
using damsonspoke::standins::kUnixStartSeconds;
using damsonspoke::standins::v4;

namespace {

constexpr std::uint64_t kFloods = 300;

// Drives a limiter and prints its decisions.
class ScriptedLimiter {
 public:
  ScriptedLimiter(ConnectionLimiterOptions options, std::size_t total,
                  const std::vector<double>& shares = {1})
      : quota(total, shares), known({7 * 86400, 2, 64}), limiter(std::move(options), quota, known) {}

  // Opens one connection; returns 0 if it was rejected. A connection that is evicted for it is closed at
  // once.
  ConnectionId connect(const Address& from, std::size_t listener = 0, bool is_out_of_descriptors = false) {
    const ConnectionId id = ++last_id;
    const AdmissionResult result =
        limiter.admit(id, listener, from, now, kUnixStartSeconds + now, is_out_of_descriptors);
    const std::string outcome =
        result.is_admitted ? "admitted as " + std::to_string(id) : std::string(text_of(result.cause));
    std::printf("  %-12s %s", text_of(client_of(from)).c_str(), outcome.c_str());
    if (!result.is_admitted) std::printf(", retry after %.2f", result.retry_after);
    if (result.evicts) {
      std::printf(", evicts %d", static_cast<int>(*result.evicts));
      limiter.on_closed(*result.evicts);
    }
    std::printf("\n");
    return result.is_admitted ? id : 0;
  }
  void connect_many(const Address& from, int count) {
    int admitted = 0;
    std::map<std::string, int> causes;
    for (int i = 0; i < count; ++i) {
      const AdmissionResult result = limiter.admit(++last_id, 0, from, now, kUnixStartSeconds + now);
      if (result.is_admitted) ++admitted;
      if (!result.is_admitted) ++causes[text_of(result.cause)];
      if (result.evicts) limiter.on_closed(*result.evicts);
    }
    std::printf("  %d from %s: %d admitted", count, text_of(client_of(from)).c_str(), admitted);
    for (const auto& [cause, rejected] : causes) std::printf(", %s %d", cause.c_str(), rejected);
    std::printf("\n");
  }
  void make_known(const Address& from) {
    for (int i = 0; i < 2; ++i) known.record_success(client_of(from), kUnixStartSeconds + now);
  }
  void serve_request(ConnectionId id, double priority_weight) {
    limiter.on_request_read(id, now);
    limiter.on_success(id, priority_weight, now, kUnixStartSeconds + now);
  }
  void close_penalized(ConnectionId id, Penalty penalty) {
    limiter.penalize(id, penalty, now);
    limiter.on_closed(id);
  }

  ConnectionQuota quota;
  KnownClients known;
  ConnectionLimiter limiter;
  double now = 10;
  ConnectionId last_id = 0;
};

ConnectionLimiterOptions without_shares() {
  ConnectionLimiterOptions options;
  options.reserve = 0;
  options.client_share = 1;
  options.network_share = 1;
  return options;
}

ConnectionLimiterOptions with_high_rates(ConnectionLimiterOptions options) {
  options.client_burst = 100;
  options.network_burst = 1000;
  options.unknown_clients_burst = 1000;
  return options;
}

void caps() {
  std::printf(
      "caps: 20 connections, a quarter per client, half per network, a quarter reserved for known clients\n");
  ScriptedLimiter script(with_high_rates({}), 20);
  script.connect_many(v4(10, 0, 0, 1), 6);
  script.connect_many(v4(10, 0, 0, 2), 6);
  script.connect_many(v4(10, 0, 0, 3), 6);
  script.connect_many(v4(10, 0, 1, 1), 6);
  script.connect_many(v4(10, 0, 2, 1), 6);
  const Address known = v4(10, 9, 9, 9);
  script.make_known(known);
  std::printf(
      "a known client uses the reserve, then evicts silent connections of unknown clients, up to its own "
      "cap\n");
  script.connect_many(known, 12);
  std::printf("open %zu, of unknown clients %zu of at most %zu\n", script.limiter.open_count(),
              script.limiter.unknown_count(), script.limiter.max_unknown());
}

void eviction_order() {
  std::printf(
      "eviction order: connections without a request, then idle ones of unknown clients by usefulness, never "
      "busy ones\n");
  ScriptedLimiter script(with_high_rates(without_shares()), 4);
  script.connect(v4(10, 0, 0, 1));  // stays silent
  const ConnectionId useful = script.connect(v4(10, 0, 0, 2));
  const ConnectionId idle = script.connect(v4(10, 0, 0, 3));
  const ConnectionId busy = script.connect(v4(10, 0, 0, 4));
  script.serve_request(useful, 3);
  script.limiter.on_request_read(idle, script.now);
  script.limiter.on_request_read(busy, script.now);
  script.limiter.set_busy(busy, true);
  script.connect(v4(10, 0, 1, 1));
  script.now += 0.11;
  const ConnectionId next = script.connect(v4(10, 0, 1, 2));
  script.serve_request(next, 1);
  script.now += 0.25;
  script.connect(v4(10, 0, 1, 3));
  script.connect(v4(10, 0, 1, 4));
  script.now += 0.5;
  script.connect(v4(10, 0, 1, 5));
  script.now += 3;
  script.connect(v4(10, 0, 1, 6));
  script.connect(v4(10, 0, 1, 7));
  std::printf(
      "an unknown client never evicts a known one; another known client does after its protection has "
      "expired\n");
  for (unsigned n = 1; n <= 4; ++n) {
    script.make_known(v4(10, 5, 0, n));
    script.connect(v4(10, 5, 0, n));
  }
  script.now += 1;
  script.connect(v4(10, 0, 1, 8));
  script.make_known(v4(10, 5, 0, 5));
  script.connect(v4(10, 5, 0, 5));
}

void rates() {
  std::printf("rates: 2 per second and a burst of 3 per client; a burst of 10 for all unknown clients\n");
  ConnectionLimiterOptions options;
  options.client_rate = 2;
  options.client_burst = 3;
  options.unknown_clients_rate = 5;
  options.unknown_clients_burst = 10;
  ScriptedLimiter script(options, 1000);
  script.connect_many(v4(10, 0, 0, 1), 5);
  script.now += 0.5;
  script.connect_many(v4(10, 0, 0, 1), 2);
  for (unsigned n = 2; n < 5; ++n) script.connect_many(v4(10, 0, n, 1), 3);
  script.make_known(v4(10, 7, 0, 1));
  std::printf(
      "a known client has four times the rate, and does not count towards the rate of unknown clients\n");
  script.connect_many(v4(10, 7, 0, 1), 14);
}

void reconfigured_rates() {
  std::printf(
      "a raised rate takes effect immediately, and a shorter half-life does not add penalty points\n");
  ConnectionLimiterOptions options;
  options.client_rate = 1;
  options.client_burst = 10;
  ScriptedLimiter script(options, 1000);
  script.connect_many(v4(10, 0, 0, 1), 12);
  const ConnectionId incomplete = script.connect(v4(10, 0, 0, 2));
  script.limiter.penalize(incomplete, Penalty::kIncompleteRequest, script.now);
  options.client_rate = 100;
  options.penalty_half_life = 1;
  script.limiter.reconfigure(options, script.now);
  script.now += 0.05;
  script.connect_many(v4(10, 0, 0, 1), 8);
  script.connect(v4(10, 0, 0, 2));
}

void penalties() {
  std::printf("penalty points: rejected after four incomplete requests, until the points have decayed\n");
  ScriptedLimiter script({}, 100);
  for (int i = 0; i < 4; ++i)
    script.close_penalized(script.connect(v4(10, 0, 0, 1)), Penalty::kIncompleteRequest);
  script.connect(v4(10, 0, 0, 1));
  script.connect(v4(10, 0, 0, 2));
  script.now += 10;
  script.connect(v4(10, 0, 0, 1));
  script.now += 25;
  script.connect(v4(10, 0, 0, 1));
  std::printf("a known client that misbehaves is no longer known, then it is rejected\n");
  script.make_known(v4(10, 0, 0, 9));
  for (int i = 0; i < 4; ++i) {
    const ConnectionId id = script.connect(v4(10, 0, 0, 9));
    if (id == 0) break;
    script.close_penalized(id, Penalty::kInvalidRequests);
  }
}

void groups() {
  std::printf("groups: 30%% for two networks together, whose clients have no smaller cap\n");
  ConnectionLimiterOptions options;
  options.client_share = 0.1;
  options.client_burst = 100;
  options.groups.push_back({"edge", 0.3, {*parse_prefix("10.1.0.0/16"), *parse_prefix("10.2.0.0/16")}});
  options.listed.push_back(*parse_prefix("10.2.0.0/24"));
  ScriptedLimiter script(options, 20);
  script.connect_many(v4(10, 1, 0, 1), 4);
  script.connect_many(v4(10, 2, 0, 1), 4);
  script.connect_many(v4(10, 3, 0, 1), 4);
  std::printf("a client that reconnects replaces its own dead connection\n");
  script.now += 1;
  script.connect_many(v4(10, 2, 0, 1), 1);
  script.connect_many(v4(10, 3, 0, 1), 3);
}

void longest_prefix_group() {
  std::printf("the longest prefix decides the group; each network of unknown clients has a separate rate\n");
  ConnectionLimiterOptions options;
  options.network_rate = 1;
  options.network_burst = 3;
  options.max_protection = 1;
  options.weight_protection = 10;
  options.groups.push_back({"narrow", 0.05, {*parse_prefix("10.1.1.0/24")}});
  options.groups.push_back({"wide", 1, {*parse_prefix("10.1.0.0/16")}});
  ScriptedLimiter script(options, 20);
  script.connect_many(v4(10, 1, 1, 1), 3);
  script.connect_many(v4(10, 4, 0, 1), 2);
  script.connect_many(v4(10, 4, 0, 2), 2);
  std::printf(
      "a silent connection does not affect a known client; a client that becomes known is counted as known; "
      "protection is limited\n");
  const Address from = v4(10, 5, 0, 1);
  const ConnectionId id = script.connect(from);
  const std::size_t unknown_before = script.limiter.unknown_count();
  script.serve_request(id, 3);
  script.serve_request(id, 3);
  std::printf("  of unknown clients %zu, then %zu, score %.1f", unknown_before,
              script.limiter.unknown_count(), script.known.score(client_of(from)));
  script.limiter.penalize(id, Penalty::kSilent, script.now);
  std::printf(", after a silent connection %.1f", script.known.score(client_of(from)));
  script.quota.resize(0);
  script.now += 1.29;
  const std::size_t early = script.limiter.excess_connections(script.now).size();
  script.now += 0.02;
  std::printf("; excess connections with a total of 0: %zu, then %zu\n", early,
              script.limiter.excess_connections(script.now).size());
}

void sketch_size() {
  std::printf(
      "sufficient sketch size: a client that connects all the time is limited to its rate among 400 "
      "others\n");
  ConnectionLimiterOptions options;
  options.clients = 1;
  options.client_rate = 1;
  options.client_burst = 5;
  options.network_rate = 10000;
  options.network_burst = 10000;
  ScriptedLimiter script(options, 10000);
  int admitted = 0;
  for (unsigned i = 0; i < 300; ++i) {
    const AdmissionResult result =
        script.limiter.admit(++script.last_id, 0, v4(10, 6, 0, 1), script.now, kUnixStartSeconds);
    if (result.is_admitted) ++admitted;
    script.limiter.admit(++script.last_id, 0, v4(10, 7, i / 250, i % 250), script.now, kUnixStartSeconds);
  }
  std::printf("  300 connections at once: %d admitted\n", admitted);
}

void no_descriptor_left() {
  std::printf("no descriptor left: admitted only if another connection is evicted\n");
  ScriptedLimiter script({}, 100);
  script.connect(v4(10, 0, 0, 1));
  script.connect(v4(10, 0, 0, 2), 0, true);
  script.make_known(v4(10, 0, 0, 3));
  script.connect(v4(10, 0, 0, 3), 0, true);
  script.connect(v4(10, 0, 0, 3), 0, true);
}

void two_listeners() {
  std::printf(
      "two listeners with four connections each: an evicted connection must free a slot for the listener\n");
  ScriptedLimiter script(without_shares(), 8, {0.5, 0.5});
  for (int i = 0; i < 4; ++i) script.connect(v4(10, 0, 1, 1), 0);
  script.now += 1;
  for (int i = 0; i < 4; ++i) script.connect(v4(10, 0, 2, 1), 1);
  script.make_known(v4(10, 0, 3, 1));
  script.connect(v4(10, 0, 3, 1), 1);
  script.connect(v4(10, 0, 3, 1), 0);
  script.now += 1;
  script.connect(v4(10, 0, 4, 1), 1);
}

void lowered_limit() {
  std::printf("lowered limit: connections whose protection has expired are closed, busy ones stay\n");
  const ConnectionLimiterOptions options = without_shares();
  ScriptedLimiter script(options, 8);
  for (int i = 0; i < 6; ++i) script.connect(v4(10, 0, 0, 1));
  script.limiter.set_busy(2, true);
  script.quota.resize(2);
  script.limiter.reconfigure(options, script.now);
  std::printf("  immediately: %zu\n", script.limiter.excess_connections(script.now).size());
  script.now += 1;
  for (const ConnectionId id : script.limiter.excess_connections(script.now)) {
    std::printf("  %d is closed\n", static_cast<int>(id));
    script.limiter.on_closed(id);
  }
  script.connect(v4(10, 0, 0, 2));
}

void steps() {
  caps();
  eviction_order();
  rates();
  reconfigured_rates();
  penalties();
  groups();
  longest_prefix_group();
  sketch_size();
  no_descriptor_left();
  two_listeners();
  lowered_limit();
}

void floods() {
  long known_admitted = 0;
  long known_attempted = 0;
  long unknown_admitted = 0;
  long unknown_attempted = 0;
  long flood_admitted = 0;
  long flood_attempted = 0;
  for (std::uint64_t seed = 1; seed <= kFloods; ++seed) {
    ConnectionFloodSim flood(seed, false);
    const std::string violation = flood.run();
    if (!violation.empty()) {
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), violation.c_str());
      return;
    }
    known_admitted += flood.known_admitted;
    known_attempted += flood.known_attempted;
    unknown_admitted += flood.unknown_admitted;
    unknown_attempted += flood.unknown_attempted;
    flood_admitted += flood.flood_admitted;
    flood_attempted += flood.flood_attempted;
  }
  std::printf(
      "300 floods: no violation; known clients %s, unknown clients outside of the flood %s, the flood %s\n",
      known_admitted == known_attempted && known_admitted > 3000 ? "all admitted" : "NOT all admitted",
      unknown_admitted * 2 > unknown_attempted ? "more than half admitted" : "fewer than half admitted",
      flood_admitted * 3 < flood_attempted ? "less than a third admitted" : "more than a third admitted");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 3 && std::strcmp(argv[1], "floods") == 0) {
    std::printf("%s\n", ConnectionFloodSim(std::strtoull(argv[2], nullptr, 10), true).run().c_str());
    return 0;
  }
  if (argc == 2 && std::strcmp(argv[1], "steps") == 0) {
    steps();
    return 0;
  }
  if (argc == 2 && std::strcmp(argv[1], "floods") == 0) {
    floods();
    return 0;
  }
  std::fprintf(stderr,
               "usage: connection_limiter_traces steps, or connection_limiter_traces floods [SEED]\n");
  return 2;
}

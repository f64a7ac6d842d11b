// The connection limiter without sockets: step by step, and in simulated floods by a seed. CTest compares
// with tests/traces/conns_NAME.txt. usage: connection_limiter_traces steps|floods, or
// connection_limiter_traces floods SEED
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "conns/connection_limiter.h"
#include "gate_flood.h"

using namespace damsonspoke::conns;
using damsonspoke::standins::GateFlood;
using damsonspoke::standins::kUnix;
using damsonspoke::standins::v4;

namespace {

constexpr std::uint64_t kFloods = 300;

// A limiter that is told what happens; prints what it answers.
class ScriptedLimiter {
 public:
  ScriptedLimiter(ConnectionLimiterOptions options, std::size_t total,
                  const std::vector<double>& shares = {1})
      : quota(total, shares), known({7 * 86400, 2, 64}), limiter(std::move(options), quota, known) {}

  // One connection; 0: it was rejected. One that is evicted for it ends at once.
  ConnectionId connect(const Address& from, std::size_t listener = 0, bool is_out_of_descriptors = false) {
    const ConnectionId id = ++last_id;
    const AdmissionResult result = limiter.admit(id, listener, from, now, kUnix + now, is_out_of_descriptors);
    const std::string outcome =
        result.is_admitted ? "in as " + std::to_string(id) : std::string(text_of(result.cause));
    std::printf("  %-12s %s", text_of(client_of(from)).c_str(), outcome.c_str());
    if (!result.is_admitted) std::printf(", back in %.2f", result.retry_after);
    if (result.evicts) {
      std::printf(", sheds %d", static_cast<int>(*result.evicts));
      limiter.on_closed(*result.evicts);
    }
    std::printf("\n");
    return result.is_admitted ? id : 0;
  }
  void connect_many(const Address& from, int count) {
    int admitted = 0;
    std::map<std::string, int> causes;
    for (int i = 0; i < count; ++i) {
      const AdmissionResult result = limiter.admit(++last_id, 0, from, now, kUnix + now);
      if (result.is_admitted) ++admitted;
      if (!result.is_admitted) ++causes[text_of(result.cause)];
      if (result.evicts) limiter.on_closed(*result.evicts);
    }
    std::printf("  %d from %s: %d in", count, text_of(client_of(from)).c_str(), admitted);
    for (const auto& [cause, rejected] : causes) std::printf(", %s %d", cause.c_str(), rejected);
    std::printf("\n");
  }
  void make_known(const Address& from) {
    for (int i = 0; i < 2; ++i) known.record_success(client_of(from), kUnix + now);
  }
  void serve_request(ConnectionId id, double priority_weight) {
    limiter.on_request_read(id, now);
    limiter.on_success(id, priority_weight, now, kUnix + now);
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
  std::printf("caps: 20 places, a quarter a client, half a network, a quarter for known clients\n");
  ScriptedLimiter script(with_high_rates({}), 20);
  script.connect_many(v4(10, 0, 0, 1), 6);
  script.connect_many(v4(10, 0, 0, 2), 6);
  script.connect_many(v4(10, 0, 0, 3), 6);
  script.connect_many(v4(10, 0, 1, 1), 6);
  script.connect_many(v4(10, 0, 2, 1), 6);
  const Address known = v4(10, 9, 9, 9);
  script.make_known(known);
  std::printf("a known client finds its reserve, then moves silent strangers, up to its own share\n");
  script.connect_many(known, 12);
  std::printf("open %zu, strangers %zu of %zu\n", script.limiter.open_count(), script.limiter.unknown_count(),
              script.limiter.max_unknown());
}

void eviction_order() {
  std::printf("who is kept: silent, then idle strangers by what they did, never who is busy\n");
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
  std::printf("a stranger never moves a known client; another known one does, past its time\n");
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
  std::printf("rates: 2 a second and 3 at once a client; all strangers 10 at once\n");
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
  std::printf("a known client has four times the rate, and no part in the strangers'\n");
  script.connect_many(v4(10, 7, 0, 1), 14);
}

void reconfigured_rates() {
  std::printf("a rate that is raised counts at once, and a shorter half-life makes no points\n");
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
  std::printf("points: half a request four times, then it waits outside until they fade\n");
  ScriptedLimiter script({}, 100);
  for (int i = 0; i < 4; ++i)
    script.close_penalized(script.connect(v4(10, 0, 0, 1)), Penalty::kIncompleteRequest);
  script.connect(v4(10, 0, 0, 1));
  script.connect(v4(10, 0, 0, 2));
  script.now += 10;
  script.connect(v4(10, 0, 0, 1));
  script.now += 25;
  script.connect(v4(10, 0, 0, 1));
  std::printf("a known client that turns bad loses its standing, then its patience with us\n");
  script.make_known(v4(10, 0, 0, 9));
  for (int i = 0; i < 4; ++i) {
    const ConnectionId id = script.connect(v4(10, 0, 0, 9));
    if (id == 0) break;
    script.close_penalized(id, Penalty::kInvalidRequests);
  }
}

void groups() {
  std::printf("groups: 30%% for two networks together, whose members have no smaller cap\n");
  ConnectionLimiterOptions options;
  options.client_share = 0.1;
  options.client_burst = 100;
  options.groups.push_back({"edge", 0.3, {*parse_prefix("10.1.0.0/16"), *parse_prefix("10.2.0.0/16")}});
  options.listed.push_back(*parse_prefix("10.2.0.0/24"));
  ScriptedLimiter script(options, 20);
  script.connect_many(v4(10, 1, 0, 1), 4);
  script.connect_many(v4(10, 2, 0, 1), 4);
  script.connect_many(v4(10, 3, 0, 1), 4);
  std::printf("who reconnects takes the place of its own dead connection\n");
  script.now += 1;
  script.connect_many(v4(10, 2, 0, 1), 1);
  script.connect_many(v4(10, 3, 0, 1), 3);
}

void narrowest_group() {
  std::printf("the narrowest network says which group; a network of strangers has a rate of its own\n");
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
      "a silent connection costs no standing; who becomes known is no stranger any more; none is kept for "
      "good\n");
  const Address from = v4(10, 5, 0, 1);
  const ConnectionId id = script.connect(from);
  const std::size_t unknown_before = script.limiter.unknown_count();
  script.serve_request(id, 3);
  script.serve_request(id, 3);
  std::printf("  strangers %zu, then %zu, earned %.1f", unknown_before, script.limiter.unknown_count(),
              script.known.score(client_of(from)));
  script.limiter.penalize(id, Penalty::kSilent, script.now);
  std::printf(", after a silent one %.1f", script.known.score(client_of(from)));
  script.quota.resize(0);
  script.now += 1.29;
  const std::size_t early = script.limiter.excess_connections(script.now).size();
  script.now += 0.02;
  std::printf("; beyond no place: %zu, then %zu\n", early,
              script.limiter.excess_connections(script.now).size());
}

void sketch_size() {
  std::printf(
      "a sketch as large as it has to be: who comes all the time is held to its rate among 400 others\n");
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
        script.limiter.admit(++script.last_id, 0, v4(10, 6, 0, 1), script.now, kUnix);
    if (result.is_admitted) ++admitted;
    script.limiter.admit(++script.last_id, 0, v4(10, 7, i / 250, i % 250), script.now, kUnix);
  }
  std::printf("  300 tries at once: %d in\n", admitted);
}

void no_descriptor_left() {
  std::printf("no descriptor left: in only where another goes\n");
  ScriptedLimiter script({}, 100);
  script.connect(v4(10, 0, 0, 1));
  script.connect(v4(10, 0, 0, 2), 0, true);
  script.make_known(v4(10, 0, 0, 3));
  script.connect(v4(10, 0, 0, 3), 0, true);
  script.connect(v4(10, 0, 0, 3), 0, true);
}

void two_listeners() {
  std::printf("two fronts of four places each: a place must be one that the front may take\n");
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
  std::printf("fewer places than are open: who has outstayed its time goes, busy ones stay\n");
  const ConnectionLimiterOptions options = without_shares();
  ScriptedLimiter script(options, 8);
  for (int i = 0; i < 6; ++i) script.connect(v4(10, 0, 0, 1));
  script.limiter.set_busy(2, true);
  script.quota.resize(2);
  script.limiter.reconfigure(options, script.now);
  std::printf("  at once: %zu\n", script.limiter.excess_connections(script.now).size());
  script.now += 1;
  for (const ConnectionId id : script.limiter.excess_connections(script.now)) {
    std::printf("  %d goes\n", static_cast<int>(id));
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
  narrowest_group();
  sketch_size();
  no_descriptor_left();
  two_listeners();
  lowered_limit();
}

void floods() {
  long known_in = 0;
  long known_asked = 0;
  long honest_in = 0;
  long honest_asked = 0;
  long flood_in = 0;
  long flood_asked = 0;
  for (std::uint64_t seed = 1; seed <= kFloods; ++seed) {
    GateFlood flood(seed, false);
    const std::string broken = flood.play();
    if (!broken.empty()) {
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), broken.c_str());
      return;
    }
    known_in += flood.known_in;
    known_asked += flood.known_asked;
    honest_in += flood.honest_in;
    honest_asked += flood.honest_asked;
    flood_in += flood.flood_in;
    flood_asked += flood.flood_asked;
  }
  std::printf("300 floods: nothing broke; known clients %s, honest strangers %s, of the flood %s\n",
              known_in == known_asked && known_in > 3000 ? "all in" : "NOT all in",
              honest_in * 2 > honest_asked ? "more than half in" : "fewer than half in",
              flood_in * 3 < flood_asked ? "less than a third in" : "more than a third in");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 3 && std::strcmp(argv[1], "floods") == 0) {
    std::printf("%s\n", GateFlood(std::strtoull(argv[2], nullptr, 10), true).play().c_str());
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

// Admission of connections without sockets: sketches against exact counts, who is known, the gate told step
// by step, and thousands of seeded floods. CTest compares with tests/traces/conns_NAME.txt. usage: conns
// SCENARIO [SEED]
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "conns/connection_limiter.h"
#include "conns/known_clients_record.h"
#include "conns/minimum_byte_rate.h"
#include "gate_flood.h"

using namespace damsonspoke::conns;
using damsonspoke::standins::GateFlood;
using damsonspoke::standins::v4;

namespace {

using damsonspoke::standins::kUnix;

void prefixes() {
  for (const char* text :
       {"10.1.2.3", "10.1.2.3/24", "10.1.2.3/0", "10.1.2.3/33", "10.1.2.3/", "10.1.2/8", "10.1.2.3/2x",
        "2001:db8:1:2:3::4", "2001:db8:1:2:3::4/48", "2001:db8::/129", "::ffff:10.1.2.3", "", "host"}) {
    const auto prefix = parse_prefix(text);
    std::printf("%-22s %s", text, prefix ? text_of(*prefix).c_str() : "none");
    if (prefix)
      std::printf(", client %s, network %s", text_of(client_of(prefix->base)).c_str(),
                  text_of(network_of(prefix->base)).c_str());
    std::printf("\n");
  }
  const Prefix net = *parse_prefix("10.1.0.0/16");
  std::printf("10.1.9.9 in 10.1.0.0/16: %d, 10.2.0.0: %d, ::1: %d\n", net.contains(v4(10, 1, 9, 9)),
              net.contains(v4(10, 2, 0, 0)), net.contains(*parse_address("::1")));
}

// ---- Sketches against exact counts of the same arrivals.
void sketches() {
  int refused_wrongly = 0, over_error = 0, heavy_missed = 0, points_over = 0, plays = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    pcg64 random(seed);
    const auto chance = [&] { return std::ldexp(static_cast<double>(random() >> 11), -53); };
    const std::size_t entries = 16 + random() % 64;
    const double rate = 5, burst = 8;
    // As the gate has it: all together are held to less than the table drains.
    RateSketch sketch(entries, rate, burst),
        all(1, rate * static_cast<double>(entries) / 2, static_cast<double>(entries));
    DecayingScoreSketch fading(entries, 10);
    std::map<Prefix, double> exact;                           // by client: when its bucket is empty
    std::map<Prefix, std::pair<double, double>> exact_waste;  // points, at
    const unsigned clients = 8 + random() % 2000;
    const double per_s = 50 + chance() * 4000;
    const Prefix heavy = client_of(v4(9, 9, 9, 9));
    double now = 100, heavy_admitted = 0, admitted = 0;
    for (int i = 0; i < 4000; ++i) {
      now += -std::log(1 - chance()) / per_s;
      const bool is_heavy = chance() < 0.3;
      const auto n = static_cast<unsigned>(random() % clients);
      const Prefix key = is_heavy ? heavy : client_of(v4(10, n / 65536, n / 256 % 256, n % 256));
      double& empty = exact.try_emplace(key, now).first->second;
      empty = std::max(empty, now);
      const bool exact_room = empty - now + 1 / rate <= burst / rate + 1e-9;
      const bool room = sketch.has_capacity(key, now);
      if (!room && exact_room) ++refused_wrongly;
      if (room && all.has_capacity({}, now)) {
        sketch.add(key, now), all.add({}, now);
        ++admitted;
        empty += 1 / rate;
        if (is_heavy) ++heavy_admitted;
      }
      auto& [points, at] = exact_waste[key];
      points = points * std::exp2((at - now) / 10) + 1, at = now;
      fading.add(key, 1, now);
      if (fading.score(key, now) > points + 1e-6) ++points_over;
      // With n entries the least has no more than the n-th part of all that was let in.
      if (sketch.max_error(now) > admitted / static_cast<double>(entries) + 1e-6) ++over_error;
    }
    // Who has a third of all arrivals is held to the rate, however many others there are.
    if (heavy_admitted > burst + rate * (now - 100) + 1) ++heavy_missed;
    ++plays;
  }
  std::printf(
      "%d plays: refused for what others did %d, error beyond its bound %d, a third of all not held to its "
      "rate %d, points beyond the true ones %d\n",
      plays, refused_wrongly, over_error, heavy_missed, points_over);
}

// Counts that do not fade: whoever is not in the table has at most what the least in it has, and whoever is
// has something between his two values.
void space() {
  int wrong = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    pcg32 random(seed);
    SpaceSaving seen(4 + random() % 20);
    std::map<Prefix, double> exact;
    for (int i = 0; i < 1000; ++i) {
      const unsigned n = std::min(random() % 60, random() % 60);
      const Prefix key = client_of(v4(10, 0, 0, n));
      ++exact[key];
      const SpaceSaving::Entry entry = seen.insert(key, 0);
      seen.update(key, entry.upper + 1, entry.lower + 1);
    }
    for (const auto& [key, count] : exact) {
      const SpaceSaving::Entry* entry = seen.find(key);
      wrong += entry == nullptr ? count > seen.max_absent() : count > entry->upper || count < entry->lower;
    }
  }
  std::printf("200 plays: %d counts outside of what the table says\n", wrong);
}

void known() {
  KnownClientsOptions terms;
  terms.required_successes = 4, terms.max_age = 100, terms.max_entries = 3;
  KnownClients known(terms);
  const auto client = [](unsigned n) { return client_of(v4(10, 0, 0, n)); };
  double now = kUnix;
  const auto tell = [&](const char* what) {
    std::printf("%-46s", what);
    for (unsigned n = 1; n <= 5; ++n)
      std::printf(" %u:%s%.0f", n, known.is_known(client(n), now) ? "known " : "", known.score(client(n)));
    std::printf("\n");
  };
  for (int i = 0; i < 3; ++i) known.record_success(client(1), now);
  tell("three acked");
  known.record_success(client(1), now);
  tell("four");
  for (int i = 0; i < 20; ++i) known.record_success(client(1), now);
  tell("no more than twice that is earned");
  for (int i = 0; i < 4; ++i) known.record_misbehavior(client(1));
  tell("misbehaved four times");
  for (int i = 0; i < 3; ++i) known.record_misbehavior(client(1));
  tell("seven times: lost");
  for (int i = 0; i < 4; ++i) known.record_success(client(1), now), known.record_success(client(2), now);
  known.record_success(client(3), now += 1);
  tell("two known, one seen");
  known.record_success(client(4), now += 1);
  tell("a fourth takes the place of who is not known");
  for (int i = 0; i < 4; ++i) known.record_success(client(4), now);
  known.record_success(client(5), now += 1);
  tell("among known ones the oldest goes");
  now += 99;
  tell("nearly too old");
  now += 2;
  tell("too old");
  known.record_success(client(4), now);
  tell("who comes after that is a stranger");

  std::vector<KnownClient> all = known.entries();
  all.push_back({client(7), 4, now + 1000, true});         // from the future
  all.push_back({client(8), 4, now - 101, true});          // too old
  all.push_back({client(9), -1, now, true});               // senseless
  all.push_back({{v4(10, 0, 0, 10), 100}, 4, now, true});  // no such prefix
  all.push_back({client(11), 1, now, true});               // says that it is known, and has earned nothing
  KnownClients next(terms);
  all.push_back({client(12), 4, std::nan(""), true});
  all.push_back({client(13), 2.5, now, true});  // has lost some of what it earned, and kept its standing
  std::printf("an heir takes %zu of %zu, of whom are known", next.restore(all, now), all.size());
  for (unsigned n = 1; n <= 13; ++n)
    if (next.is_known(client(n), now)) std::printf(" %u", n);
  std::printf("\n");
  std::printf("a prefix of 200 bits: %s\n",
              decode_known_clients(encode_known_clients({{{v4(10, 0, 0, 1), 200}, 4, now, true}}))
                  ? "taken"
                  : "no record");
  const std::string bytes = encode_known_clients(known.entries());
  const auto read = decode_known_clients(bytes);
  std::printf("round trip: %s\n", read && read->size() == known.size() && encode_known_clients(*read) == bytes
                                      ? "the same"
                                      : "another");
  int torn = 0;
  for (std::size_t n = 0; n < bytes.size(); ++n) torn += decode_known_clients(bytes.substr(0, n)).has_value();
  std::printf("cut anywhere: %d of %s taken\n", torn, "all prefixes");
  pcg32 random(3);
  int spoilt_known = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string spoilt = bytes;
    for (unsigned n = 1 + random() % 3; n > 0; --n)
      spoilt[random() % spoilt.size()] = static_cast<char>(random());
    const auto clients = decode_known_clients(spoilt);
    if (!clients) continue;
    KnownClients heir(terms);
    heir.restore(*clients, now);
    for (const KnownClient& one : heir.entries())
      spoilt_known += !std::isfinite(one.score) || one.score > 8 || one.last_success > now ||
                      now - one.last_success > 100;
  }
  std::printf("spoilt bytes: %d entries that no life could have written\n", spoilt_known);
}

void pace() {
  const MinimumByteRateOptions terms{0.5, 1000};
  MinimumByteRate pace;
  std::printf("not begun: %d\n", pace.is_too_slow(9, 0, terms));
  pace.start(1, 100);
  std::printf("in the grace: %d, after it with nothing: %d, with enough: %d, one short: %d\n",
              pace.is_too_slow(1.4, 100, terms), pace.is_too_slow(1.6, 100, terms),
              pace.is_too_slow(2.5, 1100, terms), pace.is_too_slow(2.5, 1099, terms));
  pace.stop();
  std::printf("over: %d\n", pace.is_too_slow(9, 0, terms));
}

// ---- The gate, told step by step.
struct Told {
  explicit Told(ConnectionLimiterOptions terms, std::size_t total, std::vector<double> floors = {1})
      : share(total, floors), known({7 * 86400, 2, 64}), gate(std::move(terms), share, known) {}
  // One connection; who is shed goes at once.
  ConnectionId comes(const Address& from, std::size_t front = 0, bool scarce = false) {
    const ConnectionId id = ++last;
    const AdmissionResult a = gate.admit(id, front, from, now, kUnix + now, scarce);
    std::printf("  %-12s %s", text_of(client_of(from)).c_str(),
                a.admitted ? ("in as " + std::to_string(id)).c_str() : text_of(a.cause));
    if (!a.admitted) std::printf(", back in %.2f", a.retry_after);
    if (a.evicts) std::printf(", sheds %d", static_cast<int>(*a.evicts)), gate.on_closed(*a.evicts);
    std::printf("\n");
    return a.admitted ? id : 0;
  }
  void many(const Address& from, int n) {
    int in = 0;
    std::map<std::string, int> why;
    for (int i = 0; i < n; ++i) {
      const AdmissionResult a = gate.admit(++last, 0, from, now, kUnix + now);
      in += a.admitted;
      if (!a.admitted) ++why[text_of(a.cause)];
      if (a.evicts) gate.on_closed(*a.evicts);
    }
    std::printf("  %d from %s: %d in", n, text_of(client_of(from)).c_str(), in);
    for (const auto& [text, count] : why) std::printf(", %s %d", text.c_str(), count);
    std::printf("\n");
  }
  void makes_known(const Address& from) {
    for (int i = 0; i < 2; ++i) known.record_success(client_of(from), kUnix + now);
  }
  void is_of_use(ConnectionId id, double priority_weight) {
    gate.on_request_read(id, now), gate.on_success(id, priority_weight, now, kUnix + now);
  }
  ConnectionQuota share;
  KnownClients known;
  ConnectionLimiter gate;
  double now = 10;
  ConnectionId last = 0;
};

void steps() {
  ConnectionLimiterOptions terms;
  terms.client_burst = 100, terms.network_burst = 1000, terms.unknown_clients_burst = 1000;
  {
    std::printf("caps: 20 places, a quarter a client, half a network, a quarter for known clients\n");
    Told t(terms, 20);
    t.many(v4(10, 0, 0, 1), 6), t.many(v4(10, 0, 0, 2), 6), t.many(v4(10, 0, 0, 3), 6);
    t.many(v4(10, 0, 1, 1), 6), t.many(v4(10, 0, 2, 1), 6);
    const Address friendly = v4(10, 9, 9, 9);
    t.makes_known(friendly);
    std::printf("a known client finds its reserve, then moves silent strangers, up to its own share\n");
    t.many(friendly, 12);
    std::printf("open %zu, strangers %zu of %zu\n", t.gate.open_count(), t.gate.unknown_count(),
                t.gate.max_unknown());
  }
  {
    std::printf("who is kept: silent, then idle strangers by what they did, never who is busy\n");
    terms.reserve = 0, terms.client_share = 1, terms.network_share = 1;
    Told t(terms, 4);
    const ConnectionId silent = t.comes(v4(10, 0, 0, 1)), useful = t.comes(v4(10, 0, 0, 2)),
                       idle = t.comes(v4(10, 0, 0, 3)), busy = t.comes(v4(10, 0, 0, 4));
    static_cast<void>(silent);
    t.is_of_use(useful, 3), t.gate.on_request_read(idle, t.now), t.gate.on_request_read(busy, t.now),
        t.gate.set_busy(busy, true);
    t.comes(v4(10, 0, 1, 1));
    t.now += 0.11;
    const ConnectionId next = t.comes(v4(10, 0, 1, 2));
    t.is_of_use(next, 1);
    t.now += 0.25;
    t.comes(v4(10, 0, 1, 3));
    t.comes(v4(10, 0, 1, 4));
    t.now += 0.5;
    t.comes(v4(10, 0, 1, 5));
    t.now += 3;
    t.comes(v4(10, 0, 1, 6));
    t.comes(v4(10, 0, 1, 7));
    std::printf("a stranger never moves a known client; another known one does, past its time\n");
    for (const Address& one : {v4(10, 5, 0, 1), v4(10, 5, 0, 2), v4(10, 5, 0, 3), v4(10, 5, 0, 4)}) {
      t.makes_known(one);
      t.comes(one);
    }
    t.now += 1;
    t.comes(v4(10, 0, 1, 8));
    t.makes_known(v4(10, 5, 0, 5));
    t.comes(v4(10, 5, 0, 5));
  }
  {
    std::printf("rates: 2 a second and 3 at once a client; all strangers 10 at once\n");
    ConnectionLimiterOptions slow;
    slow.client_rate = 2, slow.client_burst = 3, slow.unknown_clients_rate = 5,
    slow.unknown_clients_burst = 10;
    Told t(slow, 1000);
    t.many(v4(10, 0, 0, 1), 5);
    t.now += 0.5;
    t.many(v4(10, 0, 0, 1), 2);
    for (unsigned n = 2; n < 5; ++n) t.many(v4(10, 0, n, 1), 3);
    t.makes_known(v4(10, 7, 0, 1));
    std::printf("a known client has four times the rate, and no part in the strangers'\n");
    t.many(v4(10, 7, 0, 1), 14);
  }
  {
    std::printf("a rate that is raised counts at once, and a shorter half-life makes no points\n");
    ConnectionLimiterOptions slow;
    slow.client_rate = 1, slow.client_burst = 10;
    Told t(slow, 1000);
    t.many(v4(10, 0, 0, 1), 12);
    const ConnectionId half = t.comes(v4(10, 0, 0, 2));
    t.gate.penalize(half, Penalty::kIncompleteRequest, t.now);
    slow.client_rate = 100, slow.penalty_half_life = 1;
    t.gate.reconfigure(slow, t.now);
    t.now += 0.05;
    t.many(v4(10, 0, 0, 1), 8);
    t.comes(v4(10, 0, 0, 2));
  }
  {
    std::printf("points: half a request four times, then it waits outside until they fade\n");
    ConnectionLimiterOptions wasteful;
    Told t(wasteful, 100);
    for (int i = 0; i < 4; ++i) {
      const ConnectionId id = t.comes(v4(10, 0, 0, 1));
      t.gate.penalize(id, Penalty::kIncompleteRequest, t.now), t.gate.on_closed(id);
    }
    t.comes(v4(10, 0, 0, 1));
    t.comes(v4(10, 0, 0, 2));
    t.now += 10;
    t.comes(v4(10, 0, 0, 1));
    t.now += 25;
    t.comes(v4(10, 0, 0, 1));
    std::printf("a known client that turns bad loses its standing, then its patience with us\n");
    t.makes_known(v4(10, 0, 0, 9));
    for (int i = 0; i < 4; ++i) {
      const ConnectionId id = t.comes(v4(10, 0, 0, 9));
      if (id == 0) break;
      t.gate.penalize(id, Penalty::kInvalidRequests, t.now), t.gate.on_closed(id);
    }
  }
  {
    std::printf("groups: 30%% for two networks together, whose members have no smaller cap\n");
    ConnectionLimiterOptions grouped;
    grouped.client_share = 0.1, grouped.client_burst = 100;
    grouped.groups.push_back({"edge", 0.3, {*parse_prefix("10.1.0.0/16"), *parse_prefix("10.2.0.0/16")}});
    grouped.listed.push_back(*parse_prefix("10.2.0.0/24"));
    Told t(grouped, 20);
    t.many(v4(10, 1, 0, 1), 4), t.many(v4(10, 2, 0, 1), 4), t.many(v4(10, 3, 0, 1), 4);
    std::printf("who reconnects takes the place of its own dead connection\n");
    t.now += 1;
    t.many(v4(10, 2, 0, 1), 1), t.many(v4(10, 3, 0, 1), 3);
  }
  {
    std::printf("the narrowest network says which group; a network of strangers has a rate of its own\n");
    ConnectionLimiterOptions two;
    two.network_rate = 1, two.network_burst = 3, two.max_protection = 1, two.weight_protection = 10;
    two.groups.push_back({"narrow", 0.05, {*parse_prefix("10.1.1.0/24")}});
    two.groups.push_back({"wide", 1, {*parse_prefix("10.1.0.0/16")}});
    Told t(two, 20);
    t.many(v4(10, 1, 1, 1), 3);
    t.many(v4(10, 4, 0, 1), 2), t.many(v4(10, 4, 0, 2), 2);
    std::printf(
        "a silent connection costs no standing; who becomes known is no stranger any more; none is kept for "
        "good\n");
    const ConnectionId id = t.comes(v4(10, 5, 0, 1));
    const std::size_t before = t.gate.unknown_count();
    t.is_of_use(id, 3), t.is_of_use(id, 3);
    std::printf("  strangers %zu, then %zu, earned %.1f", before, t.gate.unknown_count(),
                t.known.score(client_of(v4(10, 5, 0, 1))));
    t.gate.penalize(id, Penalty::kSilent, t.now);
    std::printf(", after a silent one %.1f", t.known.score(client_of(v4(10, 5, 0, 1))));
    t.share.resize(0);
    t.now += 1.29;
    const std::size_t early = t.gate.excess_connections(t.now).size();
    t.now += 0.02;
    std::printf("; beyond no place: %zu, then %zu\n", early, t.gate.excess_connections(t.now).size());
  }
  {
    std::printf(
        "a sketch as large as it has to be: who comes all the time is held to its rate among 400 others\n");
    ConnectionLimiterOptions small;
    small.clients = 1, small.client_rate = 1, small.client_burst = 5,
    small.network_rate = small.network_burst = 10000;
    Told t(small, 10000);
    int in = 0;
    for (int i = 0; i < 300; ++i) {
      ConnectionId next = t.last + 1;
      in += t.gate.admit(next, 0, v4(10, 6, 0, 1), t.now, kUnix).admitted;
      t.gate.admit(next + 1, 0, v4(10, 7, static_cast<unsigned>(i) / 250, static_cast<unsigned>(i) % 250),
                   t.now, kUnix);
      t.last += 2;
    }
    std::printf("  300 tries at once: %d in\n", in);
  }
  {
    std::printf("no descriptor left: in only where another goes\n");
    ConnectionLimiterOptions plain;
    Told t(plain, 100);
    t.comes(v4(10, 0, 0, 1));
    t.comes(v4(10, 0, 0, 2), 0, true);
    t.makes_known(v4(10, 0, 0, 3));
    t.comes(v4(10, 0, 0, 3), 0, true);
    t.comes(v4(10, 0, 0, 3), 0, true);
  }
  {
    std::printf("two fronts of four places each: a place must be one that the front may take\n");
    ConnectionLimiterOptions plain;
    plain.reserve = 0, plain.client_share = 1, plain.network_share = 1;
    Told t(plain, 8, {0.5, 0.5});
    for (int i = 0; i < 4; ++i) t.comes(v4(10, 0, 1, 1), 0);
    t.now += 1;
    for (int i = 0; i < 4; ++i) t.comes(v4(10, 0, 2, 1), 1);
    t.makes_known(v4(10, 0, 3, 1));
    t.comes(v4(10, 0, 3, 1), 1);
    t.comes(v4(10, 0, 3, 1), 0);
    t.now += 1;
    t.comes(v4(10, 0, 4, 1), 1);
  }
  {
    std::printf("fewer places than are open: who has outstayed its time goes, busy ones stay\n");
    ConnectionLimiterOptions plain;
    plain.client_share = 1, plain.network_share = 1, plain.reserve = 0;
    Told t(plain, 8);
    for (int i = 0; i < 6; ++i) t.comes(v4(10, 0, 0, 1));
    t.gate.set_busy(2, true);
    t.share.resize(2);
    t.gate.reconfigure(plain, t.now);
    std::printf("  at once: %zu\n", t.gate.excess_connections(t.now).size());
    t.now += 1;
    for (const ConnectionId id : t.gate.excess_connections(t.now))
      std::printf("  %d goes\n", static_cast<int>(id)), t.gate.on_closed(id);
    t.comes(v4(10, 0, 0, 2));
  }
}

void floods() {
  long known_in = 0, known_asked = 0, honest_in = 0, honest_asked = 0, flood_in = 0, flood_asked = 0;
  constexpr std::uint64_t kFloods = 300;
  for (std::uint64_t seed = 1; seed <= kFloods; ++seed) {
    GateFlood flood(seed, false);
    const std::string broken = flood.play();
    if (!broken.empty()) {
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), broken.c_str());
      return;
    }
    known_in += flood.known_in, known_asked += flood.known_asked;
    honest_in += flood.honest_in, honest_asked += flood.honest_asked;
    flood_in += flood.flood_in, flood_asked += flood.flood_asked;
  }
  std::printf("300 floods: nothing broke; known clients %s, honest strangers %s, of the flood %s\n",
              known_in == known_asked && known_in > 3000 ? "all in" : "NOT all in",
              honest_in * 2 > honest_asked ? "more than half in" : "fewer than half in",
              flood_in * 3 < flood_asked ? "less than a third in" : "more than a third in");
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {
      {"prefixes", prefixes}, {"sketches", sketches}, {"space", space},  {"known", known},
      {"pace", pace},         {"steps", steps},       {"floods", floods}};
  if (argc == 3 && std::strcmp(argv[1], "floods") == 0) {
    std::printf("%s\n", GateFlood(std::strtoull(argv[2], nullptr, 10), true).play().c_str());
    return 0;
  }
  for (const auto& [name, play] : kScenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) return play(), 0;
  }
  std::fprintf(stderr, "usage: conns SCENARIO, or conns floods SEED\n");
  return 2;
}

// Addresses and prefixes, sketches against exact counts of the same events, and the minimum byte rate. CTest
// compares with tests/traces/conns_NAME.txt. usage: sketch_traces SCENARIO
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <utility>

#include "connection_flood_sim.h"
#include "conns/decaying_score_sketch.h"
#include "conns/minimum_byte_rate.h"
#include "conns/prefix.h"
#include "conns/rate_sketch.h"
#include "conns/space_saving.h"

using namespace damsonspoke::conns;
using damsonspoke::standins::v4;

namespace {

constexpr int kSequences = 200;

void prefixes() {
  for (const char* text :
       {"10.1.2.3", "10.1.2.3/24", "10.1.2.3/0", "10.1.2.3/33", "10.1.2.3/", "10.1.2/8", "10.1.2.3/2x",
        "2001:db8:1:2:3::4", "2001:db8:1:2:3::4/48", "2001:db8::/129", "::ffff:10.1.2.3", "", "host"}) {
    const auto prefix = parse_prefix(text);
    std::printf("%-22s %s", text, prefix ? text_of(*prefix).c_str() : "none");
    if (prefix) {
      std::printf(", client %s, network %s", text_of(client_of(prefix->base)).c_str(),
                  text_of(network_of(prefix->base)).c_str());
    }
    std::printf("\n");
  }
  const Prefix network = *parse_prefix("10.1.0.0/16");
  std::printf("10.1.9.9 in 10.1.0.0/16: %d, 10.2.0.0: %d, ::1: %d\n", network.contains(v4(10, 1, 9, 9)),
              network.contains(v4(10, 2, 0, 0)), network.contains(*parse_address("::1")));
}

struct SketchFaults {
  int wrongly_rejected = 0;
  int error_beyond_bound = 0;
  int heavy_client_missed = 0;
  int score_too_high = 0;
};

// One sequence of arrivals, counted by the sketches and exactly. One client causes a third of them.
class ArrivalSequence {
 public:
  explicit ArrivalSequence(std::uint64_t seed)
      : random_(seed),
        entries_(16 + random_() % 64),
        arrivals_(entries_, kRate, kBurst),
        all_(1, kRate * static_cast<double>(entries_) / 2, static_cast<double>(entries_)),
        scores_(entries_, kHalfLifeSeconds) {}

  void run(SketchFaults& faults) {
    const unsigned clients = 8 + random_() % 2000;
    const double arrivals_per_second = 50 + chance() * 4000;
    const Prefix heavy_client = client_of(v4(9, 9, 9, 9));
    double heavy_admitted = 0;
    for (int i = 0; i < kArrivals; ++i) {
      now_ += -std::log(1 - chance()) / arrivals_per_second;
      const bool is_heavy = chance() < 0.3;
      const auto n = static_cast<unsigned>(random_() % clients);
      const Prefix client = is_heavy ? heavy_client : client_of(v4(10, n / 65536, n / 256 % 256, n % 256));
      if (arrive(client, faults) && is_heavy) ++heavy_admitted;
      add_score(client, faults);
      // With n entries, the smallest one counts at most 1/n of all admitted arrivals.
      if (arrivals_.max_error(now_) > admitted_ / static_cast<double>(entries_) + kTolerance)
        ++faults.error_beyond_bound;
    }
    if (heavy_admitted > kBurst + kRate * (now_ - kStart) + 1) ++faults.heavy_client_missed;
  }

 private:
  static constexpr double kRate = 5;
  static constexpr double kBurst = 8;
  static constexpr double kHalfLifeSeconds = 10;
  static constexpr double kStart = 100;
  static constexpr double kTolerance = 1e-6;
  static constexpr int kArrivals = 4000;

  double chance() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }

  // Whether the client was admitted. As in the limiter, all clients together are limited to less than the
  // rate at which the table drains.
  bool arrive(const Prefix& client, SketchFaults& faults) {
    double& empty_at = exact_empty_at_.try_emplace(client, now_).first->second;
    empty_at = std::max(empty_at, now_);
    const bool exact_capacity = empty_at - now_ + 1 / kRate <= kBurst / kRate + 1e-9;
    const bool has_capacity = arrivals_.has_capacity(client, now_);
    if (!has_capacity && exact_capacity) ++faults.wrongly_rejected;
    if (!has_capacity || !all_.has_capacity({}, now_)) return false;
    arrivals_.add(client, now_);
    all_.add({}, now_);
    ++admitted_;
    empty_at += 1 / kRate;
    return true;
  }

  void add_score(const Prefix& client, SketchFaults& faults) {
    auto& [score, at] = exact_scores_[client];
    score = score * std::exp2((at - now_) / kHalfLifeSeconds) + 1;
    at = now_;
    scores_.add(client, 1, now_);
    if (scores_.score(client, now_) > score + kTolerance) ++faults.score_too_high;
  }

  pcg64 random_;
  const std::size_t entries_;
  RateSketch arrivals_;
  RateSketch all_;
  DecayingScoreSketch scores_;
  std::map<Prefix, double> exact_empty_at_;
  std::map<Prefix, std::pair<double, double>> exact_scores_;  // score, at
  double now_ = kStart;
  double admitted_ = 0;
};

void sketches() {
  SketchFaults faults;
  for (std::uint64_t seed = 1; seed <= kSequences; ++seed) ArrivalSequence(seed).run(faults);
  std::printf(
      "%d sequences: rejected because of other clients %d, error above its bound %d, client with a third of "
      "all "
      "arrivals above its rate %d, scores above the exact ones %d\n",
      kSequences, faults.wrongly_rejected, faults.error_beyond_bound, faults.heavy_client_missed,
      faults.score_too_high);
}

// Counts without decay: the bounds are correct for each key, in the table or not.
int wrong_counts(std::uint64_t seed) {
  pcg32 random(seed);
  SpaceSaving table(4 + random() % 20);
  std::map<Prefix, double> exact;
  for (int i = 0; i < 1000; ++i) {
    const unsigned n = std::min(random() % 60, random() % 60);
    const Prefix key = client_of(v4(10, 0, 0, n));
    ++exact[key];
    const SpaceSaving::Entry entry = table.insert(key, 0);
    table.update(key, entry.upper + 1, entry.lower + 1);
  }
  int wrong = 0;
  for (const auto& [key, count] : exact) {
    const SpaceSaving::Entry* entry = table.find(key);
    const bool is_wrong =
        entry == nullptr ? count > table.max_absent() : count > entry->upper || count < entry->lower;
    if (is_wrong) ++wrong;
  }
  return wrong;
}

void space_saving() {
  int wrong = 0;
  for (std::uint64_t seed = 1; seed <= kSequences; ++seed) wrong += wrong_counts(seed);
  std::printf("200 sequences: %d counts outside of the bounds of the table\n", wrong);
}

void minimum_byte_rate() {
  const MinimumByteRateOptions options{0.5, 1000};
  MinimumByteRate rate;
  std::printf("not started: %d\n", rate.is_too_slow(9, 0, options));
  rate.start(1, 100);
  std::printf("within the grace: %d, after it without bytes: %d, with enough bytes: %d, one byte short: %d\n",
              rate.is_too_slow(1.4, 100, options), rate.is_too_slow(1.6, 100, options),
              rate.is_too_slow(2.5, 1100, options), rate.is_too_slow(2.5, 1099, options));
  rate.stop();
  std::printf("stopped: %d\n", rate.is_too_slow(9, 0, options));
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> scenarios[] = {{"prefixes", prefixes},
                                                          {"sketches", sketches},
                                                          {"space_saving", space_saving},
                                                          {"minimum_byte_rate", minimum_byte_rate}};
  for (const auto& [name, run] : scenarios) {
    if (argc != 2 || std::strcmp(argv[1], name) != 0) continue;
    run();
    return 0;
  }
  std::fprintf(stderr, "usage: sketch_traces SCENARIO\n");
  return 2;
}

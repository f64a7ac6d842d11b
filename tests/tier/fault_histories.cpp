// Seeded fault histories without sockets: forwarders' dispatches and planners' sessions over links that
// delay, break and lose frames. CTest compares the output with tests/traces/tier_histories.txt. usage:
// tier_fault_histories - histories, or tier_fault_histories history SEED REQUESTS
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "fault_history.h"
#include "scenarios.h"

using namespace damsonspoke::tier;

namespace {

// Short histories run first, so that the first failing history is about the shortest one.
void histories() {
  History::Totals all;
  int count = 0;
  for (const int requests : {5, 20, 60, 200, 600}) {
    for (std::uint64_t seed = 1; seed <= (requests < 200 ? 500u : 40u); ++seed, ++count) {
      History history(seed * 1000 + static_cast<std::uint64_t>(requests), requests, false);
      const std::string violation = history.run();
      if (!violation.empty()) {
        std::printf("%d requests, seed %llu: %s\n", requests, static_cast<unsigned long long>(seed),
                    violation.c_str());
        History again(seed * 1000 + static_cast<std::uint64_t>(requests), requests, true);
        again.run();
        return;
      }
      const History::Totals totals = history.totals();
      all.requests += totals.requests;
      all.succeeded += totals.succeeded;
      all.rejected += totals.rejected;
      all.failed += totals.failed;
      all.retries += totals.retries;
      all.fences += totals.fences;
      all.proven_not_run += totals.proven_not_run;
      all.stale_answers += totals.stale_answers;
      all.unprovable_attempts += totals.unprovable_attempts;
      all.key_lookups += totals.key_lookups;
      all.key_lookup_hits += totals.key_lookup_hits;
    }
  }
  std::printf(
      "%d histories: one answer per request and in time, no second run, open attempts counted correctly, "
      "windows respected\n",
      count);
  const auto share = [&](int n, double min_share) {
    return static_cast<double>(n) > min_share * all.requests ? "enough" : "too few";
  };
  std::printf("succeeded %s, rejected %s, failed %s\n", share(all.succeeded, 0.5), share(all.rejected, 0.02),
              share(all.failed, 0.005));
  std::printf("retries %s, fences %s, proofs %s, answers dropped %s, unprovable attempts %s\n",
              share(all.retries, 0.005), share(all.fences, 0.005), share(all.proven_not_run, 0.003),
              share(all.stale_answers, 0.001), share(all.unprovable_attempts, 0.002));
  std::printf("key lookups %s, key lookup hits %s\n", share(all.key_lookups, 0.005),
              share(all.key_lookup_hits, 0.001));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 4 && std::strcmp(argv[1], "history") == 0) {
    History history(std::strtoull(argv[2], nullptr, 10) * 1000 + std::strtoull(argv[3], nullptr, 10),
                    std::atoi(argv[3]), true);
    std::printf("%s\n", history.run().c_str());
    return 0;
  }
  std::string unused;
  return run_scenario(argc, argv, unused, {{"histories", histories}});
}

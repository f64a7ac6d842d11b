// Entries of the catalog: names, positions, aggregates over all entries, and their lines. CTest compares with
// tests/traces/catalog_NAME.txt. usage: entries - SCENARIO
#include <cmath>
#include <cstdio>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <string_view>

#include "catalog/catalog.h"
#include "catalog/codec.h"
#include "catalog_fixtures.h"
#include "scenarios.h"

using namespace damsonspoke;
using namespace damsonspoke::catalog;
using namespace damsonspoke::catalog::testing;

namespace {

std::uint64_t constant_hash(std::string_view, std::uint64_t) { return 42; }

// Names are found among other names, also if all of them have the same hash, and after removals.
void names() {
  for (const HashFunction hash : {keyed_hash, constant_hash}) {
    const std::size_t capacity = hash == keyed_hash ? 5000 : 300;
    NameIndex index(capacity, 3, hash);
    std::map<std::string, int> expected;
    pcg32 random(5);
    bool all_found = true;
    for (int step = 0; step < 20000; ++step) {
      const std::string name = numbered("name-", random(static_cast<std::uint32_t>(capacity)));
      const bool is_present = expected.contains(name);
      if (!is_present && random(3) > 0) {
        index.add(name, step);
        expected[name] = step;
      } else if (is_present) {
        index.remove(name);
        expected.erase(name);
      }
      const std::string looked_up = numbered("name-", random(static_cast<std::uint32_t>(capacity)));
      const auto known = expected.find(looked_up);
      all_found = all_found && index.find(looked_up) == (known == expected.end() ? -1 : known->second);
    }
    for (const auto& [name, position] : expected) all_found = all_found && index.find(name) == position;
    say(hash == keyed_hash ? "any names" : "names with the same hash",
        all_found && index.size() == expected.size());
  }
  NameIndex index(1000, 3);
  for (int i = 0; i < 500; ++i) index.add(numbered("name-", i), i);
  const std::size_t before = index.memory_bytes();
  int known = 0;
  for (int i = 0; i < 1000000; ++i) known += index.find(numbered("unknown-", i)) >= 0;
  say("a million unknown names are not found, and use no memory",
      known == 0 && index.memory_bytes() == before);
  for (int i = 0; i < 100000; ++i) {
    index.remove(numbered("name-", i % 500));
    index.add(numbered("name-", i % 500), i);
  }
  say("adding and removing names does not use more memory", index.memory_bytes() == before);
}

// The text of the error; empty when the change was accepted.
std::string apply_error(Catalog& catalog, const Change& change) {
  const auto error = catalog.apply(change);
  return error ? to_string(*error) : std::string();
}

// An entry keeps its position and generation, an entry that reuses its position has another generation, and
// the aggregates are updated.
void positions() {
  Catalog catalog({10, 10, true}, 1);
  apply(catalog, route("r"));
  apply(catalog, tenant("a", 10));
  apply(catalog, tenant("b", 5));
  const int b = catalog.find_tenant("b");
  const std::uint32_t generation = catalog.tenant(b).generation;
  apply(catalog, tenant("b", 7));
  say("another quota, same position and generation", catalog.find_tenant("b") == b &&
                                                         catalog.tenant(b).generation == generation &&
                                                         catalog.tenant(b).quota_per_second == 7);
  say("the total quota is updated", catalog.total_quota_per_second() == 17);
  apply(catalog, RemoveTenant{"b"});
  say("removed", catalog.find_tenant("b") == -1 && catalog.total_quota_per_second() == 10 &&
                     catalog.tenant_count() == 1);
  apply(catalog, tenant("c", 1));
  say("its position is reused with another generation",
      catalog.find_tenant("c") == b && catalog.tenant(b).generation != generation);
  apply(catalog, tenant("b", 5));
  say("an entry that is added again has a new generation",
      catalog.tenant(catalog.find_tenant("b")).generation > generation + 1);
  apply(catalog, route("important", 0.4, 9));
  say("the highest weight is updated", catalog.highest_priority_weight() == 9);
  apply(catalog, route("important", 0.4, 2));
  say("also if it is lowered", catalog.highest_priority_weight() == 2);
  apply(catalog, RemoveRoute{"important"});
  say("and if the route is removed", catalog.highest_priority_weight() == 1);
  for (const Change& bad : std::initializer_list<Change>{
           RemoveRoute{"r"}, RemoveRoute{"none"}, RemoveTenant{"none"}, tenant("", 1), tenant("two words", 1),
           tenant(std::string(2000, 'x'), 1), tenant("d", -1), tenant("d", std::nan("")), route("s", 0),
           route("s", 0.4, -1), route("s", 1e9)})
    std::printf("rejected: %s\n", apply_error(catalog, bad).c_str());
  for (int i = 0; i < 12; ++i) {
    const std::string error = apply_error(catalog, tenant(numbered("t", i), 1));
    if (!error.empty()) std::printf("t%d: %s\n", i, error.c_str());
  }
  std::printf("replacing an existing entry: '%s'\n", apply_error(catalog, tenant("t1", 2)).c_str());
  Catalog unkeyed({10, 10, false}, 1);
  PutRoute keyed = route("k");
  keyed.settings.idempotency = Idempotency::kWithKey;
  std::printf("a keyed route: %s\n", apply_error(unkeyed, keyed).c_str());
}

// After a long history of changes the aggregates equal those computed from the entries.
void sums() {
  Catalog catalog({50, 500, true}, 1);
  apply(catalog, route("r"));
  pcg32 random(3);
  std::map<std::string, double> quotas;
  std::map<std::string, double> weights{{"r", 1}};
  for (int i = 0; i < 200000; ++i) {
    const std::string name = numbered("t", random(500));
    const double quota = random(1000000) / 7.0;
    if (random(3) == 0) {
      if (!catalog.apply(RemoveTenant{name})) quotas.erase(name);
    } else if (!catalog.apply(tenant(name, quota))) {
      quotas[name] = quota;
    }
    const std::string route_name = numbered("r", random(40));
    const double weight = random(20);
    if (random(3) == 0) {
      if (!catalog.apply(RemoveRoute{route_name})) weights.erase(route_name);
    } else if (!catalog.apply(route(route_name, 0.4, weight))) {
      weights[route_name] = weight;
    }
  }
  double sum = 0;
  double highest = 0;
  for (const auto& [name, quota] : quotas) sum += quota;
  for (const auto& [name, weight] : weights) highest = std::max(highest, weight);
  say("the total quota", std::abs(catalog.total_quota_per_second() - sum) < 1e-6 * sum);
  say("the highest weight", catalog.highest_priority_weight() == highest);
  say("the number of entries",
      catalog.tenant_count() == quotas.size() && catalog.route_count() == weights.size());
  for (const auto& [name, quota] : quotas) apply(catalog, RemoveTenant{name});
  say("the total quota is 0 when all tenants are removed", catalog.total_quota_per_second() == 0);
}

// Each change is unchanged after encoding and decoding; each invalid line has its error.
void lines() {
  PutRoute full = route("svc/r", 0.4, 2.5);
  full.settings.idempotency_window = 5;
  full.settings.late_value = 0.25;
  full.settings.value_without_call = 0.5;
  full.settings.calls_dependency = true;
  full.settings.idempotency = Idempotency::kNonIdempotent;
  for (const Change& change : std::initializer_list<Change>{full, tenant("acme", 12.5), RemoveRoute{"svc/r"},
                                                            RemoveTenant{"acme"}}) {
    std::string line = encode_change(change);
    const Change again = decode_change(std::string_view(line).substr(0, line.size() - 1));
    std::printf("%s%s, unchanged after decoding: %s\n", line.c_str(), describe(again).c_str(),
                encode_change(again) == line ? "yes" : "NO");
  }
  for (const std::string& bad :
       {std::string(""), std::string("[]"), std::string("{"), std::string(R"({"quota-per-s":1})"),
        std::string(R"({"tenant":7})"), std::string(R"({"tenant":"a","quota-per-s":-1})"),
        std::string(R"({"tenant":"a","quota-per-s":"x"})"), std::string(R"({"route":"a"})"),
        std::string(R"({"route":"a","target":1,"give-up":0})"),
        std::string(R"({"route":"a","target":1,"give-up":2,"semantics":"x"})"),
        std::string(R"({"route":"a","target":1,"give-up":2,"calls":1})"),
        std::string(R"({"route":"a","target":1,"give-up":2,"worth-without":2})"), std::string(5000, ' ')}) {
    try {
      decode_change(bad);
      std::printf("accepted: %s\n", bad.c_str());
    } catch (const CodecError& error) {
      std::printf("%.44s: %s\n", bad.c_str(), error.what());
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused_binary;
  return run_scenario(argc, argv, unused_binary,
                      {{"names", names}, {"positions", positions}, {"sums", sums}, {"lines", lines}});
}

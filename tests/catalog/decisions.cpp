// Decisions of the admission controller while the catalog changes. CTest compares with
// tests/traces/catalog_NAME.txt. usage: decisions - SCENARIO
#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

#include "admission/controller.h"
#include "admission/tenant_quotas.h"
#include "catalog_fixtures.h"
#include "decision_load.h"
#include "scenarios.h"
#include "silent_sink.h"
#include "synthetic_site.h"

using namespace damsonspoke;
using namespace damsonspoke::catalog;
using namespace damsonspoke::catalog::testing;

namespace {

// How many of 40 requests of a tenant at once are within its quota.
int count_within_quota(TenantQuotas& quotas, int tenant, double now) {
  int within = 0;
  for (int i = 0; i < 40; ++i) {
    if (!quotas.observe(tenant, now)) continue;
    ++within;
    quotas.spend(tenant);
  }
  return within;
}

// Token buckets in bounded memory decide like one bucket per tenant; a bucket that was evicted starts full.
void quotas() {
  const StartSettings site = standins::synthetic_site({1, 200000}, 1);
  Catalog catalog({1, 200000, true}, 1);
  apply(catalog, route("r"));
  for (int i = 0; i < 200000; ++i) apply(catalog, tenant(numbered("t", i), 1));
  TenantQuotas many(catalog, 1);
  std::printf("40 requests at once, of one tenant of 200000: %d within its quota\n",
              count_within_quota(many, 5, 0));
  // A minute later, four other tenants of its cache set evict it; its bucket would be full by then anyway.
  for (int i = 1; i <= 4; ++i) many.observe(5 + i * 16384, 60);
  std::printf("a minute later, after eviction: %d within its quota\n", count_within_quota(many, 5, 60));
  for (int i = 1; i <= 3; ++i) many.observe(5 + i * 16384, 60);
  std::printf("three other tenants of its set evict none: %s\n",
              many.observe(5, 60) ? "NO" : "its bucket is empty");
  apply(catalog, RemoveTenant{"t5"});
  apply(catalog, tenant("t5", 1));
  std::printf("removed and added again: %s\n", many.observe(5, 60) ? "a full bucket" : "NO");
  apply(catalog, tenant("t5", 0));
  std::printf("with a quota of 0: %d within its quota\n", count_within_quota(many, 5, 60));
}

// Records the answer to each request.
struct RecordingSink : standins::SilentSink {
  void reject(RequestId id, double, bool) override { answers[id] = "rejected"; }
  void fail(RequestId id) override { answers[id] = "failed"; }
  void schedule_wakeup(double, std::uint64_t token) override { wakeup = token; }

  std::map<RequestId, std::string> answers;
  std::uint64_t wakeup = 0;
};

double values_learned(const AdmissionController& controller, int position) {
  const LearnedStatistics learned = controller.learned();
  double sum = 0;
  for (const double bin : learned.routes[static_cast<std::size_t>(position)].run.bins) sum += bin;
  return sum;
}

// Decisions use the settings that the route had when the request was read, and the statistics of a removed
// route are not used for the route that reuses its position.
void decided() {
  const StartSettings site = standins::synthetic_site({2, 0}, 1);
  Catalog catalog({10, 10, true}, 1);
  PutRoute fragile = route("r", 1);
  fragile.settings.idempotency = Idempotency::kNonIdempotent;
  apply(catalog, route("other", 1));
  apply(catalog, fragile);
  RecordingSink sink;
  AdmissionController controller(site.admission, 1, sink, 0, {}, &catalog);
  const int position = catalog.find_route("r");
  Request request;
  request.route = position;
  request.size_kb = 1;
  for (request.id = 1; request.id <= 9; ++request.id)
    controller.on_request(0.1, request);  // eight run, the ninth is queued
  apply(catalog, route("r", 1));          // idempotent from now on
  controller.on_timer(2, sink.wakeup, {});
  std::printf("a queued request whose route was not idempotent when it was read: %s\n",
              sink.answers[9].c_str());
  request.id = 10;
  controller.on_request(2, request);
  controller.on_timer(4, sink.wakeup, {});
  std::printf("a request that arrived after the change: %s\n", sink.answers[10].c_str());
  apply(catalog, RemoveRoute{"r"});
  apply(catalog, route("new", 1));
  say("another route reuses the position", catalog.find_route("new") == position);
  request.id = 11;
  controller.on_request(4, request);
  controller.on_run_finished(4.1, 1, Outcome::kOk, 0);
  controller.on_run_finished(4.1, 2, Outcome::kOk, 0);
  say("runs of the removed route are not counted for it", values_learned(controller, position) == 0);
  for (RequestId id = 3; id <= 8; ++id) controller.on_run_finished(4.2, id, Outcome::kOk, 0);
  controller.on_run_finished(4.3, 11, Outcome::kOk, 0);
  say("its own runs are counted", values_learned(controller, position) == 1);
  say("no memory is charged at the end", controller.pool_used_kb() == 0);
}

// Counts the lookups of decisions.
class CountingDirectory : public RouteDirectory {
 public:
  explicit CountingDirectory(const Catalog& catalog) : catalog_(catalog) {}
  const Route& route(int position) const override {
    ++lookups;
    return catalog_.route(position);
  }
  Tenant tenant(int position) const override {
    ++lookups;
    return catalog_.tenant(position);
  }
  std::size_t route_count() const override { return catalog_.route_count(); }
  std::size_t tenant_count() const override { return catalog_.tenant_count(); }
  std::size_t max_tenant_positions() const override { return catalog_.max_tenant_positions(); }
  double total_quota_per_second() const override {
    ++lookups;
    return catalog_.total_quota_per_second();
  }
  double highest_priority_weight() const override {
    ++lookups;
    return catalog_.highest_priority_weight();
  }
  mutable std::uint64_t lookups = 0;

 private:
  const Catalog& catalog_;
};

// The lookups of a request, and the bytes read for a change, do not depend on the number of routes and
// tenants.
void costs() {
  for (const standins::SiteSize size : {standins::SiteSize{3, 100}, standins::SiteSize{4400, 96000}}) {
    const StartSettings site = standins::synthetic_site(size);
    const auto catalog = Catalog::from_settings(site, {}, 1);
    const CountingDirectory directory(*catalog);
    standins::DecisionLoadOptions load;
    load.requests = 3000;
    load.directory = &directory;
    standins::play_decisions(site.admission, load);
    const std::uint64_t lookups_per_request = directory.lookups / load.requests;
    FollowedCatalog followed({5000, 100000, true});
    std::string entries;
    for (std::size_t i = 0; i < size.routes; ++i)
      entries += encode_change(PutRoute{standins::route_name(i), standins::synthetic_route(i)});
    for (std::size_t i = 0; i < size.tenants; ++i)
      entries += encode_change(tenant(standins::tenant_name(i), 1));
    followed.source.files[kSnapshotFile].bytes =
        encode_snapshot({1, 1}, 0, entries, size.routes, size.tenants);
    followed.read();
    followed.written = 1;
    std::size_t bytes = 0;
    for (int i = 0; i < 100; ++i) {
      followed.append(encode_change(tenant(standins::tenant_name(static_cast<std::size_t>(i)), 2)));
      followed.source.read_bytes = 0;
      followed.read();
      bytes = std::max(bytes, followed.source.read_bytes);
    }
    std::printf(
        "%5d routes, %6d tenants: at most 8 lookups per request: %s, less than 8 KB read per change: %s, "
        "version "
        "%d\n",
        static_cast<int>(size.routes), static_cast<int>(size.tenants),
        lookups_per_request <= 8 ? "yes" : "NO", bytes < 8192 ? "yes" : "NO",
        static_cast<int>(followed.catalog.version().sequence));
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused_binary;
  return run_scenario(argc, argv, unused_binary,
                      {{"quotas", quotas}, {"decided", decided}, {"costs", costs}});
}

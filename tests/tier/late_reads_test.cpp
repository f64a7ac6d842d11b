// A forwarder's requests that are read later than they arrived: what is decided by time goes by the arrival.
#include <gtest/gtest.h>

#include <vector>

#include "tier/dispatch.h"

namespace damsonspoke::tier {
namespace {

constexpr double kReloadSpread = 2;
constexpr double kRetention = 10;
constexpr std::uint64_t kKeyCount = 200;

// Returns how many keys are run at their owner without a lookup at a former one.
int keys_without_lookup(const KeyOwnership& ownership, double arrived_at) {
  int count = 0;
  for (std::uint64_t key_hash = 1; key_hash <= kKeyCount; ++key_hash) {
    const KeyRoute route = ownership.route(key_hash, arrived_at);
    if (route.may_run && route.former_owners.empty()) ++count;
  }
  return count;
}

// Guards against a second run of a moved key whose repeat arrives while its former owner has to be asked and
// is read after the former list was dropped.
TEST(TierLateReads, AMovedKeyIsNotRunByARequestThatArrivedBeforeItsListWasDropped) {
  KeyOwnership ownership({kReloadSpread, kRetention});
  ownership.set_planners({{0, "p1"}}, 0);
  ownership.set_planners({{1, "p2"}}, 100);
  EXPECT_EQ(keys_without_lookup(ownership, 111.5), 0);
  EXPECT_EQ(keys_without_lookup(ownership, 112), static_cast<int>(kKeyCount));
  ownership.set_planners({{1, "p2"}}, 113);  // drops the first list
  EXPECT_EQ(keys_without_lookup(ownership, 111.5), 0);
}

class RecordingSink : public DispatchSink {
 public:
  void send(int /*planner*/, Attempt /*attempt*/, RequestId request, double /*remaining_time*/,
            bool is_lookup_only) override {
    (is_lookup_only ? looked_up : sent).push_back(request);
  }
  void cancel(int /*planner*/, Attempt /*attempt*/) override {}
  void fence(int /*planner*/, Attempt /*attempt*/) override {}
  void reply(RequestId request, LocalReply /*kind*/, double /*retry_after*/, bool /*no_retry*/) override {
    replied.push_back(request);
  }
  void schedule_wakeup(double /*time*/) override {}

  std::vector<RequestId> sent, looked_up, replied;
};

DispatchOptions options() {
  DispatchOptions options;
  options.key_ownership = {kReloadSpread, kRetention};
  return options;
}

ForwardedRequest request(RequestId id, double age) {
  ForwardedRequest request;
  request.id = id;
  request.age = age;
  request.remaining_time = 3;
  return request;
}

struct Fixture {
  Fixture()
      : dispatch(
            options(), 1, {"p1", "p2"}, sink, [] { return 0.5; }, 0) {
    for (const int planner : {0, 1}) dispatch.on_link_up(planner, 1, 32, 0);
  }
  RecordingSink sink;
  Dispatch dispatch;
};

// Guards against the same at the dispatch: the former owner is asked.
TEST(TierLateReads, ADispatchedRepeatGoesToTheFormerOwner) {
  Fixture fixture;
  fixture.dispatch.set_planners({"p2"}, 100);
  for (RequestId id = 1; id <= 20; ++id) {
    ForwardedRequest repeat = request(id, 1);
    repeat.idempotency_key_hash = id;
    fixture.dispatch.on_request(repeat, 112.5);
  }
  EXPECT_FALSE(fixture.sink.looked_up.empty());
}

// Guards against the rejection of requests that arrived within the grace of a drain and were read after it.
TEST(TierLateReads, TheGraceOfADrainGoesByTheArrival) {
  Fixture fixture;
  fixture.dispatch.on_drain(5, 0.5, 10);
  fixture.dispatch.on_request(request(1, 0.4), 10.8);
  fixture.dispatch.on_request(request(2, 0.2), 10.8);
  EXPECT_EQ(fixture.sink.sent, std::vector<RequestId>{1});
  EXPECT_EQ(fixture.sink.replied, std::vector<RequestId>{2});
}

}  // namespace
}  // namespace damsonspoke::tier

// Guards against the rejection of a keyed request whose key may have run: its caller would take it to another
// server, which runs it a second time. One test for each way in which a forwarder gives a request up.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "tier/dispatch.h"

namespace damsonspoke::tier {
namespace {

constexpr int kPlanner = 0;
constexpr std::uint64_t kEpoch = 1;
constexpr std::uint64_t kRestartedEpoch = std::uint64_t{1} << 40;
constexpr std::uint32_t kWindow = 32;  // attempts
constexpr double kKeyWindow = 5;       // s
constexpr double kTimeout = 3;         // s
constexpr std::uint64_t kKey = 77;
constexpr RequestId kOriginal = 1, kRepeat = 2;

struct SentAttempt {
  RequestId request = 0;
  Attempt attempt = 0;
  bool is_lookup_only = false;
};

class RecordingSink : public DispatchSink {
 public:
  void send(int /*planner*/, Attempt attempt, RequestId request, double /*remaining_time*/,
            bool is_lookup_only) override {
    sent.push_back({request, attempt, is_lookup_only});
  }
  void cancel(int /*planner*/, Attempt /*attempt*/) override {}
  void fence(int /*planner*/, Attempt attempt) override { fenced.push_back(attempt); }
  void reply(RequestId request, LocalReply kind, double /*retry_after*/, bool /*no_retry*/) override {
    replies[request] = kind;
  }
  void schedule_wakeup(double /*time*/) override {}

  std::vector<SentAttempt> sent;
  std::vector<Attempt> fenced;
  std::map<RequestId, LocalReply> replies;
};

DispatchOptions default_options() {
  DispatchOptions options;
  options.key_attempts.allowed_lateness = kTimeout;
  options.key_ownership = {1, kKeyWindow + 2 * kTimeout};
  return options;
}

class RepeatedKeys : public testing::Test {
 protected:
  explicit RepeatedKeys(const DispatchOptions& options = default_options())
      : dispatch_(
            options, 1, {"p1"}, sink_, [] { return 0.5; }, 0) {
    dispatch_.on_link_up(kPlanner, kEpoch, kWindow, 0);
  }
  static ForwardedRequest request(RequestId id, std::uint64_t key = kKey, double remaining_time = kTimeout) {
    ForwardedRequest out;
    out.id = id;
    out.idempotency_key_hash = key;
    out.idempotency_window = kKeyWindow;
    out.remaining_time = remaining_time;
    out.bytes = 100;
    return out;
  }
  void answer(RequestId id, AnswerKind kind, double now, std::uint64_t epoch = kEpoch) {
    const auto last = std::find_if(sink_.sent.rbegin(), sink_.sent.rend(),
                                   [&](const SentAttempt& one) { return one.request == id; });
    ASSERT_NE(last, sink_.sent.rend());
    (void)dispatch_.on_answer(kPlanner, epoch, last->attempt, kind, 0, false, now);
  }
  // The original is sent at 0 s and has run.
  void run_original() {
    dispatch_.on_request(request(kOriginal), 0);
    answer(kOriginal, AnswerKind::kSucceeded, 0.1);
  }
  [[nodiscard]] std::optional<LocalReply> reply_to(RequestId id) const {
    const auto found = sink_.replies.find(id);
    return found == sink_.replies.end() ? std::nullopt : std::optional(found->second);
  }
  [[nodiscard]] bool was_sent(RequestId id, bool as_lookup) const {
    return std::any_of(sink_.sent.begin(), sink_.sent.end(), [&](const SentAttempt& one) {
      return one.request == id && one.is_lookup_only == as_lookup;
    });
  }

  RecordingSink sink_;
  Dispatch dispatch_;
};

// ---- A key that was never sent may still be rejected.

TEST_F(RepeatedKeys, AKeyThatWasNeverSentIsRejectedWhileItsPlannerIsCutOff) {
  run_original();
  dispatch_.on_link_lost(kPlanner, {}, 0.2);
  dispatch_.on_request(request(kRepeat, kKey + 1), 0.3);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kRejected);
}

TEST_F(RepeatedKeys, AKeyWhoseEveryAttemptIsProvenNotRunIsRejected) {
  dispatch_.on_request(request(kOriginal), 0);
  dispatch_.on_request(request(kRepeat), 0.1);
  answer(kRepeat, AnswerKind::kRejected, 0.2);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);  // the original may still run
  answer(kOriginal, AnswerKind::kRejected, 0.3);
  EXPECT_EQ(reply_to(kOriginal), LocalReply::kRejected);
  dispatch_.on_request(request(3), 0.4);
  answer(3, AnswerKind::kRejected, 0.5);
  EXPECT_EQ(reply_to(3), LocalReply::kRejected);
}

TEST_F(RepeatedKeys, AttemptsThatWereNeverWrittenAreProvenNotRun) {
  dispatch_.on_request(request(kOriginal), 0);
  dispatch_.on_request(request(kRepeat), 0);
  ASSERT_EQ(sink_.sent.size(), 2U);
  dispatch_.on_link_lost(kPlanner, {sink_.sent[0].attempt, sink_.sent[1].attempt}, 0.1);
  EXPECT_EQ(reply_to(kOriginal), LocalReply::kRejected);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kRejected);
}

TEST_F(RepeatedKeys, AKeyIsRejectedAgainOnceItsWindowHasEnded) {
  run_original();
  dispatch_.on_link_lost(kPlanner, {}, 0.2);
  dispatch_.on_request(request(kRepeat), kKeyWindow - 0.1);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
  dispatch_.on_request(request(3), kKeyWindow + 0.1);
  EXPECT_EQ(reply_to(3), LocalReply::kRejected);
}

// ---- The planner can't be reached.

TEST_F(RepeatedKeys, WhileThePlannerIsNotLinked) {
  run_original();
  dispatch_.on_link_lost(kPlanner, {}, 0.2);
  dispatch_.on_request(request(kRepeat), 0.3);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, WhileTheOutcomeOfTheOriginalIsUnknown) {
  dispatch_.on_request(request(kOriginal), 0);
  dispatch_.on_link_lost(kPlanner, {}, 0.2);
  dispatch_.on_request(request(kRepeat), 0.3);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, AfterTheCallerOfTheOriginalHasLeft) {
  dispatch_.on_request(request(kOriginal), 0);
  dispatch_.on_caller_disconnected(kOriginal, 0.1);
  dispatch_.on_link_lost(kPlanner, {}, 0.2);
  dispatch_.on_request(request(kRepeat), 0.3);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, AsTheLinkIsLostWhileItWaits) {
  run_original();
  dispatch_.on_load_report(kPlanner, 0, 1, true, 0.2);  // no capacity
  dispatch_.on_request(request(kRepeat), 0.3);
  EXPECT_EQ(reply_to(kRepeat), std::nullopt);
  dispatch_.on_link_lost(kPlanner, {}, 0.4);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, AsTheLinkIsLostBeforeItIsWritten) {
  run_original();
  dispatch_.on_request(request(kRepeat), 0.3);
  dispatch_.on_link_lost(kPlanner, {sink_.sent.back().attempt}, 0.4);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, WithProofThatTheRepeatAloneNeverRan) {
  dispatch_.on_request(request(kOriginal), 0);
  dispatch_.on_request(request(kRepeat), 0.1);
  dispatch_.on_link_lost(kPlanner, {}, 0.2);
  dispatch_.on_link_up(kPlanner, kEpoch, kWindow, 0.3);
  EXPECT_EQ(sink_.fenced.size(), 2U);
  answer(kOriginal, AnswerKind::kRunning, 0.4);
  answer(kRepeat, AnswerKind::kNeverRan, 0.4);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, AsThePlannerDrains) {
  run_original();
  dispatch_.on_planner_draining(kPlanner, 0.2);
  dispatch_.on_request(request(kRepeat), 0.3);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, AsThePlannerRejectsTheRepeat) {
  run_original();
  dispatch_.on_request(request(kRepeat), 0.3);
  answer(kRepeat, AnswerKind::kRejected, 0.4);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, AsTheOwnerOfTheKeyChanges) {
  run_original();
  dispatch_.set_planners({"p2"}, 0.2);
  dispatch_.on_link_lost(kPlanner, {}, 0.3);
  dispatch_.on_request(request(kRepeat), 0.4);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, AsAFormerOwnerHasForgottenTheKey) {
  run_original();
  dispatch_.set_planners({"p2"}, 0.2);
  dispatch_.on_request(request(kRepeat), 0.4);
  EXPECT_TRUE(was_sent(kRepeat, true));
  answer(kRepeat, AnswerKind::kKeyUnknown, 0.5);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

// ---- Another request with the key waits in the forwarder.

TEST_F(RepeatedKeys, WhileAnotherRequestWithItsKeyWaits) {
  dispatch_.on_load_report(kPlanner, 0, 1, true, 0);  // no capacity
  dispatch_.on_request(request(kOriginal), 0.1);
  dispatch_.on_request(request(kRepeat, kKey, 0.03), 0.2);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
  EXPECT_FALSE(dispatch_.may_be_rejected(kKey, 0.2));
  dispatch_.on_load_report(kPlanner, kWindow, 1, true, 0.3);
  EXPECT_TRUE(was_sent(kOriginal, false));
}

TEST_F(RepeatedKeys, RequestsThatAreGivenUpTogetherAreRejected) {
  dispatch_.on_load_report(kPlanner, 0, 1, true, 0);
  dispatch_.on_request(request(kOriginal), 0.1);
  dispatch_.on_request(request(kRepeat), 0.2);
  dispatch_.on_link_lost(kPlanner, {}, 0.3);
  EXPECT_EQ(reply_to(kOriginal), LocalReply::kRejected);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kRejected);
  EXPECT_TRUE(dispatch_.may_be_rejected(kKey, 0.4));
}

// ---- The forwarder has too little time or capacity.

TEST_F(RepeatedKeys, TheEstimateOfTheRunTimeDoesNotCountForARepeat) {
  dispatch_.on_request(request(kOriginal), 0);
  answer(kOriginal, AnswerKind::kSucceeded, 2);
  dispatch_.on_request(request(kRepeat, kKey, 0.5), 2.1);
  EXPECT_TRUE(was_sent(kRepeat, true));
  dispatch_.on_request(request(3, kKey + 1, 0.5), 2.2);
  EXPECT_EQ(reply_to(3), LocalReply::kRejected);
}

TEST_F(RepeatedKeys, WithTooLittleTimeLeftToAsk) {
  run_original();
  dispatch_.on_request(request(kRepeat, kKey, 0.03), 0.3);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, AsItIsOverdueWhileItWaits) {
  run_original();
  dispatch_.on_load_report(kPlanner, 0, 1, true, 0.2);
  dispatch_.on_request(request(kRepeat, kKey, 0.5), 0.3);
  dispatch_.on_timer(0.9);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

TEST_F(RepeatedKeys, WithoutMemoryForTheRequest) {
  run_original();
  dispatch_.on_request_without_memory(request(kRepeat), 0.3);
  dispatch_.on_request_without_memory(request(3, kKey + 1), 0.3);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
  EXPECT_EQ(reply_to(3), LocalReply::kRejected);
}

TEST_F(RepeatedKeys, AsItsConnectionHasTooManyRequestsOpen) {
  run_original();
  EXPECT_FALSE(dispatch_.may_be_rejected(kKey, 0.3));
  EXPECT_TRUE(dispatch_.may_be_rejected(kKey + 1, 0.3));
  EXPECT_TRUE(dispatch_.may_be_rejected(0, 0.3));  // not keyed
}

class RepeatedKeysWithAFullQueue : public RepeatedKeys {
 protected:
  static DispatchOptions options() {
    DispatchOptions options = default_options();
    options.max_waiting_requests = 1;
    return options;
  }
  RepeatedKeysWithAFullQueue() : RepeatedKeys(options()) {}
};

TEST_F(RepeatedKeysWithAFullQueue, AsItIsEvicted) {
  run_original();
  dispatch_.on_load_report(kPlanner, 0, 1, true, 0.2);
  dispatch_.on_request(request(kRepeat), 0.3);
  ForwardedRequest urgent = request(3, kKey + 1);
  urgent.priority_weight = 5;
  dispatch_.on_request(urgent, 0.4);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

// ---- A repeat runs only with proof that its key has not.

TEST_F(RepeatedKeys, ARepeatRunsOnceItsPlannerDoesNotKnowTheKey) {
  dispatch_.on_request(request(kOriginal), 0);
  dispatch_.on_caller_disconnected(kOriginal, 0.1);
  dispatch_.on_request(request(kRepeat), 0.2);
  EXPECT_FALSE(was_sent(kRepeat, false));
  answer(kRepeat, AnswerKind::kKeyUnknown, 0.3);
  EXPECT_TRUE(was_sent(kRepeat, false));
}

// Guards against a second run of a repeat that arrives inside the window, and that its planner reads after
// it, since the network was slow.
TEST_F(RepeatedKeys, ARepeatThatItsPlannerMayHaveReadTooLateDoesNotRun) {
  dispatch_.on_request(request(kOriginal), 0);
  dispatch_.on_caller_disconnected(kOriginal, 0.1);
  dispatch_.on_request(request(kRepeat), kKeyWindow - 0.1);
  answer(kRepeat, AnswerKind::kKeyUnknown, kKeyWindow + 0.1);
  EXPECT_FALSE(was_sent(kRepeat, false));
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

// Guards against a second run after the restart of a planner that keeps no store.
TEST_F(RepeatedKeys, AfterARestartOfItsPlannerARepeatDoesNotRun) {
  run_original();
  dispatch_.on_request(request(3, kKey + 1), 0.1);  // runs as its planner is killed
  dispatch_.on_link_lost(kPlanner, {}, 0.2);
  dispatch_.on_link_up(kPlanner, kRestartedEpoch, kWindow, 0.3);
  dispatch_.on_request(request(kRepeat), 0.4);
  dispatch_.on_request(request(4, kKey + 1), 0.4);
  for (const RequestId id : {kRepeat, RequestId{4}}) {
    answer(id, AnswerKind::kKeyUnknown, 0.5, kRestartedEpoch);
    EXPECT_FALSE(was_sent(id, false));
    EXPECT_EQ(reply_to(id), LocalReply::kFailed);
  }
}

TEST_F(RepeatedKeys, InANewSessionOfTheSameProcessARepeatRuns) {
  dispatch_.on_request(request(kOriginal), 0);
  dispatch_.on_link_lost(kPlanner, {}, 0.2);
  dispatch_.on_link_up(kPlanner, kEpoch + 1, kWindow, 1.2);
  dispatch_.on_request(request(kRepeat), 1.3);
  answer(kRepeat, AnswerKind::kKeyUnknown, 1.4, kEpoch + 1);
  EXPECT_TRUE(was_sent(kRepeat, false));
}

// Two repeats are looked up at once. The proof of the first lookup must not hide the attempt that follows it.
TEST_F(RepeatedKeys, TwoRepeatsThatAreLookedUpAtOnceDoNotBothRun) {
  dispatch_.on_request(request(kOriginal), 0);
  dispatch_.on_caller_disconnected(kOriginal, 0.1);
  dispatch_.on_request(request(kRepeat), 0.2);
  dispatch_.on_request(request(3), 0.2);
  answer(kRepeat, AnswerKind::kKeyUnknown, 0.3);
  EXPECT_TRUE(was_sent(kRepeat, false));
  answer(3, AnswerKind::kKeyUnknown, 0.3);  // it was asked before the repeat was sent
  EXPECT_FALSE(was_sent(3, false));
  answer(3, AnswerKind::kSucceeded, 0.4);  // it is asked again
  EXPECT_EQ(dispatch_.open_requests(), 1U);
}

// ---- The forwarder drains.

TEST_F(RepeatedKeys, AfterTheGraceOfADrainItsResultIsLookedUp) {
  run_original();
  dispatch_.on_drain(3.2, 0.5, 0.2);
  dispatch_.on_request(request(kRepeat), 1);
  EXPECT_TRUE(was_sent(kRepeat, true));
  EXPECT_FALSE(was_sent(kRepeat, false));
  dispatch_.on_request(request(3, kKey + 1), 1.1);
  EXPECT_EQ(reply_to(3), LocalReply::kRejected);
}

TEST_F(RepeatedKeys, AfterTheGraceOfADrainAForgottenResultFails) {
  run_original();
  dispatch_.on_drain(3.2, 0.5, 0.2);
  dispatch_.on_request(request(kRepeat), 1);
  answer(kRepeat, AnswerKind::kKeyUnknown, 1.1);
  EXPECT_EQ(reply_to(kRepeat), LocalReply::kFailed);
}

// ---- What is kept is bounded, and ends with its window.

constexpr std::size_t kMaxKeys = 100;

TEST(KeyAttempts, KeysAreDroppedAfterTheirWindowsAndTheAllowedLateness) {
  KeyAttempts keys({kMaxKeys, 2});
  keys.on_attempt_sent(kKey, 1, kEpoch);
  keys.on_attempt_ended(kKey, 5, true);
  keys.expire(6.9);
  EXPECT_EQ(keys.history(kKey, 4.9), KeyHistory::kMayHaveRun);
  EXPECT_EQ(keys.history(kKey, 5), KeyHistory::kNeverRan);
  keys.expire(7);
  EXPECT_EQ(keys.size(), 0U);
  EXPECT_EQ(keys.history(kKey, 4.9), KeyHistory::kPossiblyForgotten);
  EXPECT_EQ(keys.history(kKey, 5), KeyHistory::kNeverRan);
}

TEST(KeyAttempts, AFullTableForgetsTheFirstWindowAndProvesNothingOfIt) {
  KeyAttempts keys({kMaxKeys, 2});
  for (std::uint64_t key = 1; key <= 3 * kMaxKeys; ++key) {
    keys.on_attempt_sent(key, key, kEpoch);
    keys.on_attempt_ended(key, static_cast<double>(key), true);
    EXPECT_LE(keys.size(), kMaxKeys);
  }
  EXPECT_EQ(keys.history(1, 0.5), KeyHistory::kPossiblyForgotten);
  EXPECT_EQ(keys.history(3 * kMaxKeys, 0.5), KeyHistory::kMayHaveRun);
  const std::uint64_t never_sent = 9999;
  EXPECT_EQ(keys.history(never_sent, 0.5), KeyHistory::kPossiblyForgotten);
  EXPECT_EQ(keys.history(never_sent, 2 * kMaxKeys), KeyHistory::kNeverRan);
}

TEST(KeyAttempts, AKeyWithAnOpenAttemptIsNotForgotten) {
  KeyAttempts keys({1, 2});
  keys.on_attempt_sent(kKey, 1, kEpoch);
  for (std::uint64_t key = 1; key <= 10; ++key) {
    keys.on_attempt_sent(key, 1 + key, kEpoch);
    keys.on_attempt_ended(key, 1, true);
  }
  EXPECT_EQ(keys.size(), 1U);
  EXPECT_EQ(keys.history(kKey, 8), KeyHistory::kMayHaveRun);
}

TEST(KeyAttempts, AnAttemptThatIsProvenNotRunLeavesNothing) {
  KeyAttempts keys({kMaxKeys, 2});
  keys.on_attempt_sent(kKey, 1, kEpoch);
  keys.on_attempt_sent(kKey, 2, kEpoch);
  keys.on_attempt_proven_not_run(kKey);
  EXPECT_EQ(keys.history(kKey, 0), KeyHistory::kMayHaveRun);
  keys.on_attempt_proven_not_run(kKey);
  EXPECT_EQ(keys.history(kKey, 0), KeyHistory::kNeverRan);
  EXPECT_EQ(keys.size(), 0U);
}

// Guards against a table whose indices disagree: random attempts, ends and times against a plain list.
TEST(KeyAttempts, AgreesWithAListOfAllAttempts) {
  struct Ended {
    std::uint64_t key = 0;
    double window_ends_at = 0;
  };
  std::uint64_t state = 5;
  const auto random = [&state](std::uint64_t below) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (state >> 33) % below;
  };
  KeyAttempts keys({kMaxKeys, 1});
  std::vector<std::uint64_t> open;
  std::vector<Ended> ended;
  double now = 0;
  for (int step = 0; step < 20000; ++step) {
    now += 0.001;
    keys.expire(now);
    if (open.empty() || random(2) == 0) {
      open.push_back(random(40));
      keys.on_attempt_sent(open.back(), static_cast<Attempt>(step) + 1, kEpoch);
    } else {
      const std::size_t index = random(open.size());
      const std::uint64_t key = open[index];
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
      if (random(2) == 0) {
        keys.on_attempt_proven_not_run(key);
      } else {
        ended.push_back({key, now + static_cast<double>(random(100)) / 100});
        keys.on_attempt_ended(key, ended.back().window_ends_at, random(2) == 0);
      }
    }
    const std::uint64_t key = random(40);
    const bool is_open = std::find(open.begin(), open.end(), key) != open.end();
    const bool may_have_run = is_open || std::any_of(ended.begin(), ended.end(), [&](const Ended& one) {
                                return one.key == key && now < one.window_ends_at;
                              });
    ASSERT_EQ(keys.history(key, now) == KeyHistory::kMayHaveRun, may_have_run) << "step " << step;
  }
}

}  // namespace
}  // namespace damsonspoke::tier

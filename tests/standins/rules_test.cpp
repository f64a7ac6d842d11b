// The check of the service rules finds a keyed request that is rejected by a process that has run its key,
// and nothing else. Other tests rely on it.
#include <gtest/gtest.h>

#include <string>

#include "journal.h"

namespace damsonspoke::standins {
namespace {

constexpr double kWindow = 5;  // s

// The original, request 1, is sent at 1 s and runs from 1.1 to 1.2 s.
class RejectedRepeats : public testing::Test {
 protected:
  RejectedRepeats() {
    journal_.incarnations.resize(2);
    add_attempt(1, 0, 1, 1.2, AnswerKind::kSucceeded);
    journal_.attempts[1].answers[0].result = "result";
    journal_.runs.push_back({1, "key", "close", 0, 1.1, 1.2, "result", true});
  }
  void add_attempt(std::uint64_t request, int incarnation, double sent, double answered_at, AnswerKind kind) {
    Attempt attempt;
    attempt.request = request;
    attempt.key = "key";
    attempt.type = "close";
    attempt.incarnation = incarnation;
    attempt.sent = sent;
    attempt.deadline = sent + 1;
    attempt.answers.push_back({answered_at, kind, "", 0});
    journal_.attempts[request] = attempt;
  }
  [[nodiscard]] int rejected_repeats() const {
    RuleLimits limits;
    limits.key_windows["close"] = kWindow;
    return check_rules(journal_, limits).rejected_repeats;
  }

  Journal journal_;
};

TEST_F(RejectedRepeats, OneInTheWindowBreaksTheRule) {
  add_attempt(2, 0, 2, 2.1, AnswerKind::kRejected);
  EXPECT_EQ(rejected_repeats(), 1);
}

TEST_F(RejectedRepeats, AFailureKeepsTheRule) {
  add_attempt(2, 0, 2, 2.1, AnswerKind::kFailed);
  EXPECT_EQ(rejected_repeats(), 0);
}

TEST_F(RejectedRepeats, OneAfterTheWindowKeepsTheRule) {
  add_attempt(2, 0, 1 + kWindow, 6.1, AnswerKind::kRejected);
  EXPECT_EQ(rejected_repeats(), 0);
}

TEST_F(RejectedRepeats, AnotherProcessMayReject) {
  add_attempt(2, 1, 2, 2.1, AnswerKind::kRejected);
  EXPECT_EQ(rejected_repeats(), 0);
}

TEST_F(RejectedRepeats, OneBeforeTheRunKeepsTheRule) {
  add_attempt(2, 0, 0.5, 0.6, AnswerKind::kRejected);
  add_attempt(3, 0, 1.01, 1.05, AnswerKind::kRejected);
  EXPECT_EQ(rejected_repeats(), 0);
}

}  // namespace
}  // namespace damsonspoke::standins

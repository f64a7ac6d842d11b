// Whether a greeting of the runtime comes from the same process as the one before.
#include "peers/runtime/process_identity.h"

#include <gtest/gtest.h>

namespace damsonspoke::peers {
namespace {

TEST(RuntimeProcessIdentity, TheFirstGreetingIsNotFromAnotherProcess) {
  RuntimeProcessIdentity identity;
  EXPECT_FALSE(identity.is_another_process({0, 0.01, 30}));
}

TEST(RuntimeProcessIdentity, TheSameProcessWithAHigherUptimeIsNotAnother) {
  RuntimeProcessIdentity identity;
  EXPECT_FALSE(identity.is_another_process({10, 10.001, 3}));
  EXPECT_FALSE(identity.is_another_process({20, 20.001, 13}));
}

TEST(RuntimeProcessIdentity, ALateGreetingOfTheSameProcessIsNotFromAnother) {
  RuntimeProcessIdentity identity;
  EXPECT_FALSE(identity.is_another_process({10, 10.001, 0.0}));
  identity.on_answer(10.05);
  // Sent at 10.21, read when the reactor came to it.
  EXPECT_FALSE(identity.is_another_process({10.2, 10.6, 0.21}));
}

// Guards against runs that are failed because the greeting of their runtime stays unread while this process
// is paused.
TEST(RuntimeProcessIdentity, AGreetingThatIsReadASecondLateIsNotFromAnother) {
  RuntimeProcessIdentity identity;
  EXPECT_FALSE(identity.is_another_process({10, 10.001, 0.0}));
  identity.on_answer(10.1);
  EXPECT_FALSE(identity.is_another_process({10.2, 11.3, 0.2}));
}

TEST(RuntimeProcessIdentity, AProcessThatStartedLongAfterTheRequestIsNotAnother) {
  RuntimeProcessIdentity identity;
  EXPECT_FALSE(identity.is_another_process({10, 14, 0.0}));
  EXPECT_FALSE(identity.is_another_process({14.1, 14.101, 0.1}));
}

// Guards against a restarted runtime that accepts its link at once, greets late and is taken for the former
// process.
TEST(RuntimeProcessIdentity, AProcessWhoseGreetingWasMissingAtTheLastCheckIsAnother) {
  RuntimeProcessIdentity identity;
  EXPECT_FALSE(identity.is_another_process({10, 10.001, 2}));
  identity.on_answer(10.95);
  // It accepted the link at 11 and came up at once; the checks until 11.29 found no greeting.
  EXPECT_TRUE(identity.is_another_process({11.29, 11.3, 0.3}));
}

// Guards against a runtime that is restarted soon after it was first connected and is taken for the former
// process.
TEST(RuntimeProcessIdentity, AProcessThatStartedAfterTheLastAnswerIsAnother) {
  RuntimeProcessIdentity identity;
  EXPECT_FALSE(identity.is_another_process({10, 10.001, 0.0}));
  identity.on_answer(10.1);
  EXPECT_TRUE(identity.is_another_process({10.2, 10.201, 0.05}));
}

TEST(RuntimeProcessIdentity, ARestartOfAProcessThatWasUpForLongIsNoticed) {
  RuntimeProcessIdentity identity;
  EXPECT_FALSE(identity.is_another_process({10, 10.001, 300}));
  EXPECT_TRUE(identity.is_another_process({11, 11.001, 0.2}));
  EXPECT_FALSE(identity.is_another_process({12, 12.001, 1.2}));
}

}  // namespace
}  // namespace damsonspoke::peers

// Which commands go over a new link to the runtime after the last one was lost.
#include "peers/runtime/command_ledger.h"

#include <gtest/gtest.h>

namespace damsonspoke::peers {
namespace {

constexpr RequestId kId = 7;
constexpr RequestId kReported = 8;
constexpr RequestId kNeverSent = 9;

RuntimeCommand command(const std::string& text, InDoubt in_doubt) {
  RuntimeCommand out;
  out.text = text;
  out.in_doubt = in_doubt;
  return out;
}

RuntimeCommand start(InDoubt in_doubt, double give_up_at = 0) {
  RuntimeCommand out = command("start", in_doubt);
  out.is_start = true;
  out.give_up_at = give_up_at;
  return out;
}

// The texts of the commands to send, each marked as sent.
std::vector<std::string> sent_over_new_link(CommandLedger& ledger, double now) {
  std::vector<std::string> texts;
  std::uint64_t stream_end = 0;
  for (const CommandLedger::Outgoing& outgoing : ledger.take_sendable()) {
    texts.emplace_back(outgoing.text);
    stream_end += outgoing.text.size();
    ledger.mark_sent(outgoing.key, stream_end, now);
  }
  return texts;
}

TEST(CommandLedger, UnsentCommandsAreSentOverTheNextLinkOnce) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kAwaitNotice));
  ledger.mark_sent({kId, false}, 5, 1);
  ledger.on_link_lost({1.1, 1.1, 4, true});  // its last byte was not sent
  EXPECT_EQ(sent_over_new_link(ledger, 1.2), std::vector<std::string>{"start"});
  ledger.mark_delivered(ledger.last_sent());
  ledger.on_link_lost({9, 9, 5, true});
  EXPECT_TRUE(sent_over_new_link(ledger, 9.1).empty());
}

// Guards against a second run of a request that must not run twice.
TEST(CommandLedger, AStartInDoubtIsNotSentAgainWhereItMustNotRunTwice) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kAwaitNotice, 3));
  ledger.mark_sent({kId, false}, 5, 1);
  ledger.on_link_lost({1.1, 1.1, 5, true});
  EXPECT_TRUE(sent_over_new_link(ledger, 1.2).empty());
  EXPECT_EQ(ledger.next_give_up(), 3);
  EXPECT_TRUE(ledger.requests_to_give_up(2.9).empty());
  EXPECT_EQ(ledger.requests_to_give_up(3), std::vector<RequestId>{kId});
}

TEST(CommandLedger, AStartInDoubtRemainsInDoubtOverFurtherLinks) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kAwaitNotice, 9));
  ledger.mark_sent({kId, false}, 5, 1);
  ledger.on_link_lost({1.1, 1.1, 5, true});
  ledger.on_link_lost({5, 5, 0, true});
  EXPECT_TRUE(sent_over_new_link(ledger, 5.1).empty());
}

TEST(CommandLedger, AStartInDoubtIsSentAgainWhereItMayRunTwice) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kResend));
  ledger.mark_sent({kId, false}, 5, 1);
  ledger.on_link_lost({1.1, 1.1, 5, true});
  EXPECT_EQ(sent_over_new_link(ledger, 1.2), std::vector<std::string>{"start"});
  EXPECT_TRUE(ledger.was_resent(kId));
}

// Guards against memory and capacity that are held for ever by a run whose reply was lost.
TEST(CommandLedger, AReplyInDoubtIsGivenUpAtTheDeadlineOfItsRequest) {
  CommandLedger ledger;
  RuntimeCommand reply = command("give", InDoubt::kAwaitNotice);
  reply.give_up_at = 3;
  ledger.add({kId, false}, reply);
  ledger.mark_sent({kId, false}, 4, 1);
  EXPECT_EQ(ledger.on_link_lost({1.1, 1.1, 4, true}), 1U);
  EXPECT_EQ(ledger.on_link_lost({1.3, 1.3, 0, true}), 0U);
  EXPECT_EQ(ledger.requests_to_give_up(3), std::vector<RequestId>{kId});
}

// Guards against a start that is lost although it seemed acknowledged, where the break is noticed late.
TEST(CommandLedger, ABreakThatIsNoticedLateLeavesCommandsSentBeforeItInDoubt) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kAwaitNotice, 9));
  ledger.mark_sent({kId, false}, 5, 1);
  ledger.mark_delivered(ledger.last_sent());
  EXPECT_EQ(ledger.on_link_lost({1.8, 1.01, 5, true}), 1U);
}

// A runtime may lose commands that it read shortly before a break, although it has answered a later one.
TEST(CommandLedger, CommandsDeliveredShortlyBeforeABreakAreInDoubt) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kResend));
  ledger.mark_sent({kId, false}, 5, 1);
  ledger.mark_delivered(ledger.last_sent());
  ledger.on_link_lost({1.04, 1.04, 5, true});
  EXPECT_EQ(sent_over_new_link(ledger, 1.1).size(), 1U);
}

TEST(CommandLedger, CommandsDeliveredOnAReplacedLinkAreNotInDoubt) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kResend));
  ledger.mark_sent({kId, false}, 5, 1);
  EXPECT_TRUE(ledger.has_unacknowledged());
  ledger.mark_delivered(ledger.last_sent());
  EXPECT_FALSE(ledger.has_unacknowledged());
  ledger.on_link_lost({1.04, 1.04, 5, false});
  EXPECT_TRUE(sent_over_new_link(ledger, 1.1).empty());
}

TEST(CommandLedger, AnAnswerAcknowledgesOnlyCommandsSentBeforeItsRequest) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kResend));
  ledger.mark_sent({kId, false}, 5, 1);
  const std::uint64_t before_request = ledger.last_sent();
  ledger.add({kId + 1, false}, start(InDoubt::kResend));
  ledger.mark_sent({kId + 1, false}, 10, 1);
  ledger.mark_delivered(before_request);
  ledger.on_link_lost({9, 9, 10, true});
  EXPECT_EQ(ledger.take_sendable().size(), 1U);
}

// Guards against the reply to one call that answers the next call of its run.
TEST(CommandLedger, AReplyInDoubtIsNeverSentAgain) {
  CommandLedger ledger;
  ledger.add({kId, false}, command("give", InDoubt::kAwaitNotice));
  ledger.mark_sent({kId, false}, 4, 1);
  RuntimeCommand replaceable = command("give", InDoubt::kReplace);
  replaceable.replacement = "omit";
  ledger.add({kId + 1, false}, replaceable);
  ledger.mark_sent({kId + 1, false}, 8, 1);
  ledger.on_link_lost({1.1, 1.1, 8, true});
  EXPECT_EQ(sent_over_new_link(ledger, 1.2), std::vector<std::string>{"omit"});
  ledger.on_link_lost({1.3, 1.3, 4, true});
  EXPECT_EQ(sent_over_new_link(ledger, 1.4), std::vector<std::string>{"omit"});
}

// Guards against runs that are held for ever, and against runs that are given up before their deadline.
TEST(CommandLedger, ARunWhoseNoticesWereLostIsGivenUpAtItsDeadlineUnlessAnotherNoticeArrives) {
  CommandLedger ledger;
  for (const RequestId id : {kId, kReported}) {
    ledger.add({id, false}, start(InDoubt::kAwaitNotice, 3));
    ledger.mark_sent({id, false}, 5, 1);
  }
  ledger.mark_delivered(ledger.last_sent());
  ledger.add({kNeverSent, false}, start(InDoubt::kAwaitNotice, 3));
  EXPECT_FALSE(ledger.next_give_up());
  ledger.on_notices_lost();
  ledger.on_call_wanted(kReported);
  EXPECT_EQ(ledger.next_give_up(), 3);
  EXPECT_TRUE(ledger.requests_to_give_up(2.9).empty());
  EXPECT_EQ(ledger.requests_to_give_up(3), std::vector<RequestId>{kId});
}

TEST(CommandLedger, CommandsKeepTheirOrder) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kResend));
  ledger.add({kId, true}, command("stop", InDoubt::kResend));
  ledger.add({kId - 1, false}, command("cont", InDoubt::kResend));
  EXPECT_EQ(sent_over_new_link(ledger, 1), (std::vector<std::string>{"start", "stop", "cont"}));
}

TEST(CommandLedger, ARestartRemovesAllButStartsThatWereNeverSent) {
  CommandLedger ledger;
  ledger.add({kId, false}, start(InDoubt::kAwaitNotice));
  ledger.mark_sent({kId, false}, 5, 1);
  ledger.on_link_lost({1.1, 1.1, 5, true});
  ledger.add({kId + 1, false}, start(InDoubt::kAwaitNotice));
  EXPECT_EQ(ledger.on_restart(), std::unordered_set<RequestId>{kId + 1});
  EXPECT_EQ(sent_over_new_link(ledger, 2), std::vector<std::string>{"start"});
}

}  // namespace
}  // namespace damsonspoke::peers

// The policies of the two tiers in isolation: picker, wait queue, wait estimator, a planner's sessions,
// frames, key ownership and the history of endpoint lists. CTest compares the output with
// tests/traces/tier_NAME.txt. usage: tier_policy_traces - NAME
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "scenarios.h"
#include "tier/dispatch.h"
#include "tier/endpoint_list_history.h"
#include "tier/forwarder_sessions.h"
#include "tier/slot_value.h"

using namespace damsonspoke;
using namespace damsonspoke::tier;
namespace wt = damsonspoke::wire::tier;

namespace {

// ---- The picker.
std::vector<std::string> names(int count) {
  std::vector<std::string> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) out.push_back("10.0.0." + std::to_string(i + 1) + ":7000");
  return out;
}

using RandomUnit = std::function<double()>;

PickerOptions without_slow_start() {
  PickerOptions options;
  options.slow_start_seconds = 0;
  return options;
}

void picker_subjects(pcg32& random, const RandomUnit& random_unit) {
  const PickerOptions options = without_slow_start();
  {  // A subject stays at its planner when another planner disconnects.
    Picker five(options, names(5));
    for (int i = 0; i < 5; ++i) five.on_link_up(i, 100, 0);
    std::map<std::uint64_t, int> before;
    for (std::uint64_t key = 1; key <= 5000; ++key) before[key] = *five.pick(key, 1, random_unit);
    five.on_link_down(2);
    int moved = 0, of_it = 0;
    for (const auto& [key, planner] : before) {
      of_it += planner == 2;
      moved += planner != 2 && *five.pick(key, 1, random_unit) != planner;
    }
    std::printf(
        "subjects of a disconnected planner: about a fifth %s; moved subjects of other planners: %d\n",
        of_it > 850 && of_it < 1150 ? "yes" : "no", moved);
  }
  {  // Half of all requests have the same subject: no planner is far above the mean.
    Picker four(options, names(4));
    for (int i = 0; i < 4; ++i) four.on_link_up(i, 100, 0);
    std::deque<int> open;
    double worst = 0;
    for (int i = 0; i < 20000; ++i) {
      const int to = *four.pick(random() % 2 ? 7 : 1 + random() % 1000, 1, random_unit);
      four.on_attempt_sent(to);
      open.push_back(to);
      if (open.size() > 80) {
        four.on_attempt_ended(open.front(), AttemptOutcome::kSucceeded, 0.01, 1);
        open.pop_front();
      }
      if (open.size() >= 80) worst = std::max(worst, four.open_attempts(to) / 20.0);
    }
    std::printf("a hot subject: maximum at one planner within 1.35 x the mean: %s\n",
                worst <= 1.35 ? "yes" : "no");
  }
}

void picker_capacity(const RandomUnit& random_unit) {
  const PickerOptions options = without_slow_start();
  {  // Without subjects, the less utilized of two random planners is chosen.
    Picker eight(options, names(8));
    for (int i = 0; i < 8; ++i) eight.on_link_up(i, 100, 0);
    int most = 0;
    for (int i = 0; i < 400; ++i) {
      const int to = *eight.pick(0, 1, random_unit);
      eight.on_attempt_sent(to);
      most = std::max(most, eight.open_attempts(to));
    }
    std::printf("400 requests over 8 planners by the better of two: at most %s\n",
                most <= 54 ? "54" : "more");
  }
  {
    PickerOptions slow;
    Picker two(slow, names(2));
    two.on_link_up(0, 100, -100);
    two.on_link_up(1, 100, 0);
    std::printf("slow start: capacity of a window of 100 after 0, 0.5, 1, 1.5 s: %d, %d, %d, %d\n",
                two.free_capacity(1, 0), two.free_capacity(1, 0.5), two.free_capacity(1, 1),
                two.free_capacity(1, 1.5));
  }
}

// Outliers are ejected, for longer each time, but never more than half of the planners.
void picker_outliers() {
  const PickerOptions options = without_slow_start();
  Picker four(options, names(4));
  for (int i = 0; i < 4; ++i) four.on_link_up(i, 1000, 0);
  const auto round = [&](int planner, AttemptOutcome how, double latency, double now) {
    for (int i = 0; i < 20; ++i) {
      four.on_attempt_sent(planner);
      four.on_attempt_ended(planner, how, latency, now);
    }
  };
  for (const int sound : {0, 1, 2}) round(sound, AttemptOutcome::kSucceeded, 0.02, 1);
  round(3, AttemptOutcome::kFailed, 0.5, 1);
  std::printf("one planner fails: ejected %s\n", four.is_ejected(3, 1) ? "yes" : "no");
  for (int i = 0; i < 20; ++i) round(2, AttemptOutcome::kRejected, 0.001, 1);
  std::printf("a second one rejects everything: ejected %s\n", four.is_ejected(2, 1) ? "yes" : "no");
  round(1, AttemptOutcome::kFailed, 1, 1);
  round(1, AttemptOutcome::kFailed, 1, 1);
  round(1, AttemptOutcome::kFailed, 1, 1);
  std::printf("a third one fails: ejected %s, in total %d of 4\n", four.is_ejected(1, 1) ? "yes" : "no",
              four.ejected_count(1));
  double back = 1;
  while (four.is_ejected(3, back)) back += 0.25;
  round(3, AttemptOutcome::kFailed, 0.5, back);
  double again = back;
  while (four.is_ejected(3, again)) again += 0.25;
  std::printf("ejected for %.0f s, then for %.0f s\n", back - 1, again - back);
}

// Planners that all fail alike, and one that differs only in its latency.
void picker_comparisons() {
  const PickerOptions options = without_slow_start();
  Picker all(options, names(2));
  for (int i = 0; i < 2; ++i) all.on_link_up(i, 1000, 0);
  for (int i = 0; i < 64; ++i) {
    for (int p = 0; p < 2; ++p) {
      all.on_attempt_sent(p);
      all.on_attempt_ended(p, AttemptOutcome::kFailed, 1, 1);
    }
  }
  std::printf("all planners fail alike: ejected %d\n", all.ejected_count(1));
  Picker lag(options, names(3));
  for (int i = 0; i < 3; ++i) lag.on_link_up(i, 1000, 0);
  for (int i = 0; i < 20; ++i) {
    for (int p = 0; p < 3; ++p) {
      lag.on_attempt_sent(p);
      lag.on_attempt_ended(p, AttemptOutcome::kSucceeded, p == 1 ? 0.5 : 0.05, 1);
    }
  }
  std::printf("one planner is ten times slower: ejected %s\n", lag.is_ejected(1, 1) ? "yes" : "no");
}

void picker_choice(const RandomUnit& random_unit) {
  Picker choice(without_slow_start(), names(2));
  for (int i = 0; i < 2; ++i) choice.on_link_up(i, 100, 0);
  const auto to_first = [&] {
    int first = 0;
    for (int i = 0; i < 100; ++i) first += *choice.pick(0, 1, random_unit) == 0;
    return first;
  };
  choice.on_load_report(0, 100, 3, true);
  choice.on_load_report(1, 100, 1, true);
  std::printf("the first planner's slot value is higher: it gets %d of 100\n", to_first());
  choice.on_load_report(0, 100, 1, true);
  choice.on_load_report(1, 100, 1, false);
  std::printf("the second planner is unhealthy: the first gets %d of 100\n", to_first());
  choice.on_draining(0);
  std::printf("the first planner drains: it gets %d of 100\n", to_first());
  choice.remove(1);
  std::printf("the second planner is removed from the list: %s\n",
              choice.pick(0, 1, random_unit) ? "picked" : "none");
}

void picker() {
  pcg32 random(5);
  const RandomUnit random_unit = [&] { return random() / 4294967296.0; };
  picker_subjects(random, random_unit);
  picker_capacity(random_unit);
  picker_outliers();
  picker_comparisons();
  picker_choice(random_unit);
}

// ---- The wait queue and the wait estimator.
void wait_queue() {
  WaitQueue queue(6, 10000);
  for (RequestId id = 1; id <= 4; ++id) queue.push(id, 1, 1, 10);  // a heavy caller
  queue.push(5, 1, 2, 10);
  queue.push(6, 3, 1, 10);
  std::printf("ahead of a request of priority weight 1: %zu, of 3: %zu\n", queue.count_ahead(1),
              queue.count_ahead(3));
  const auto evicted = queue.push(7, 3, 3, 10);
  std::printf("full: request %llu is evicted for request 7\n",
              static_cast<unsigned long long>(evicted.value_or(0)));
  const auto evicted_new = queue.push(8, 0.5, 4, 10);
  std::printf("a request of lower priority than all others: request %llu is evicted\n",
              static_cast<unsigned long long>(evicted_new.value_or(0)));
  std::printf("order:");
  while (const auto id = queue.front()) {
    queue.remove(*id);
    std::printf(" %llu", static_cast<unsigned long long>(*id));
  }
  std::printf("; remaining %zu requests, %zu bytes\n", queue.size(), queue.bytes());
  WaitQueue small(100, 100);
  small.push(1, 1, 1, 60);
  std::printf("byte limit reached: request %llu is evicted\n",
              static_cast<unsigned long long>(small.push(2, 1, 2, 60).value_or(0)));
}

void wait_estimator() {
  WaitEstimator estimator({}, 2, 0);
  estimator.on_planner_available();
  estimator.set_busy(true, 0);
  std::printf("can finish without observations, 50 requests ahead, 0.1 s remaining: %s\n",
              estimator.can_finish_in_time(0, 50, 0.1, 0.1) ? "yes" : "no");
  for (int i = 1; i <= 300; ++i)
    estimator.on_capacity_freed(i * 0.01), estimator.on_success(0, 0.05);  // 100 a second
  std::printf(
      "can finish with 100 freed per second, 40 requests ahead, 0.3 s remaining: %s, 0.8 s remaining: %s\n",
      estimator.can_finish_in_time(0, 40, 0.3, 3) ? "yes" : "no",
      estimator.can_finish_in_time(0, 40, 0.8, 3) ? "yes" : "no");
  std::printf("can finish on a route without observations, no request ahead, 0.03 s remaining: %s\n",
              estimator.can_finish_in_time(1, 0, 0.03, 3) ? "yes" : "no");
  std::printf("retry after, behind 40 requests: %.2f to %.2f s\n", estimator.retry_after_seconds(40, 3, 0),
              estimator.retry_after_seconds(40, 3, 0.999));
  estimator.set_busy(false, 3);
  std::printf("can finish after 60 idle seconds, 40 requests ahead, 0.8 s remaining: %s\n",
              estimator.can_finish_in_time(0, 40, 0.8, 63) ? "yes" : "no");
  estimator.set_busy(true, 63);
  std::printf("can finish when no capacity was freed for 3 s: %s\n",
              estimator.can_finish_in_time(0, 40, 0.8, 66) ? "yes" : "no");
  estimator.on_no_planner(3);
  std::printf(
      "no planner: healthy after 0.5 s %s, after 1.5 s %s; retry after %.2f s after 0.5 s, %.2f s after 5 "
      "s\n",
      estimator.is_healthy(3.5) ? "yes" : "no", estimator.is_healthy(4.5) ? "yes" : "no",
      estimator.retry_after_seconds(0, 3.5, 0.5), estimator.retry_after_seconds(0, 8, 0.5));
  RetryBudget budget(0.1, 3);
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.on_first_attempt();
    taken += budget.try_spend();
  }
  std::printf("retries for 1000 first attempts with a share of a tenth: %s\n",
              taken <= 104 ? "within" : "after the retention");
  std::printf("windows of 4 cores for 1, 4, 40 links: %u, %u, %u\n", warm_window(4, 1), warm_window(4, 4),
              warm_window(4, 40));
}

// ---- A planner's sessions.
const char* text(wt::Result result) {
  const char* names[] = {"succeeded", "rejected",  "failed",  "unknown",
                         "conflict",  "never ran", "running", "outcome evicted"};
  return names[static_cast<int>(result)];
}

void forwarder_sessions_full(ForwarderSessions& sessions) {
  wt::Answer answer;
  sessions.open_session("a", 1, 4);
  sessions.open_session("b", 1, 5);
  std::printf("a third forwarder with a limit of two: %s\n",
              sessions.open_session("c", 1, 6).forwarder == 0 ? "rejected" : "accepted");
  sessions.on_link_lost(4, 30);
  const auto third = sessions.open_session("c", 1, 6).forwarder;
  std::printf("after one of them has disconnected: %s\n", third == 0 ? "rejected" : "accepted");
  answer.attempt = 77;
  std::printf("an answer to an attempt that was not accepted: to link %llu\n",
              static_cast<unsigned long long>(sessions.record_answer(third, answer)));
}

void forwarder_sessions() {
  ForwarderSessions sessions({0.75, 1024, 2, 3}, 500);
  const auto f = sessions.open_session("f1", 7, 1).forwarder;
  bool started = false;
  const auto fence = [&](std::uint64_t attempt) {
    const auto proof = sessions.fence(f, attempt, [&](RequestId) { return started; });
    std::printf("fence attempt %llu: %s%s\n", static_cast<unsigned long long>(attempt),
                text(proof.answer.result), proof.abandoned ? ", its request is abandoned" : "");
  };
  sessions.submit(f, 1, 101, 0);
  fence(1);
  sessions.submit(f, 2, 102, 0);
  started = true;
  fence(2);
  fence(5);
  std::printf(
      "submitted after the fence: %s\n",
      sessions.submit(f, 5, 105, 0) == ForwarderSessions::SubmitResult::kFenced ? "fenced" : "accepted");
  sessions.on_link_lost(1, 10);
  wt::Answer answer;
  answer.attempt = 2;
  answer.result = wt::Result::kSucceeded;
  answer.body = "done";
  std::printf("answered while disconnected: to link %llu\n",
              static_cast<unsigned long long>(sessions.record_answer(f, answer)));
  const auto back = sessions.open_session("f1", 7, 2);
  std::printf("reconnected with the same epoch: same session %s, abandoned %zu\n",
              back.forwarder == f ? "yes" : "no", back.abandoned.size());
  fence(2);
  for (std::uint64_t i = 10; i < 30; ++i) {
    sessions.submit(f, i, 100 + i, 0);
    answer.attempt = i;
    sessions.record_answer(f, answer);
  }
  fence(2);
  fence(29);
  sessions.open_session("f2", 1, 9);
  std::printf("a second forwarder halves the cache share\n");
  fence(23);
  for (std::uint64_t i = 40; i < 43; ++i) sessions.submit(f, i, 100 + i, 0);
  std::printf(
      "a fourth open attempt: %s\n",
      sessions.submit(f, 43, 143, 0) == ForwarderSessions::SubmitResult::kTooMany ? "too many" : "accepted");
  const auto restarted = sessions.open_session("f1", 8, 3);
  std::printf("a new epoch: same session %s, superseded link %llu, abandoned requests %zu\n",
              restarted.forwarder == f ? "yes" : "no",
              static_cast<unsigned long long>(restarted.superseded_link), restarted.abandoned.size());
  sessions.submit(restarted.forwarder, 1, 201, 0);
  std::printf("its attempt numbers restart: open %zu\n", sessions.open_attempts());
  sessions.on_link_lost(3, 20);
  std::printf("disconnected for 0.5 s: %zu requests expired, for 0.8 s: %zu\n",
              sessions.take_expired(20.5).size(), sessions.take_expired(20.8).size());
  forwarder_sessions_full(sessions);
}

// The longest result that a runtime may return fits a frame; longer frames are rejected.
void frames() {
  wt::Answer answer;
  answer.attempt = 1;
  answer.result = wt::Result::kSucceeded;
  answer.body.assign(64 * 1024, 'r');
  const wt::DecodedFrame taken = wt::decode_next_frame(wt::encode(answer));
  const auto* back = std::get_if<wt::Answer>(&taken.message);
  std::printf("a result of 64 KiB: %s\n",
              taken.state == wt::Framing::kFrame && back->body == answer.body ? "intact" : "damaged");
  const auto state = [](const std::string& bytes) {
    const wt::Framing framing = wt::decode_next_frame(bytes).state;
    return framing == wt::Framing::kBroken  ? "broken"
           : framing == wt::Framing::kFrame ? "read"
                                            : "incomplete";
  };
  std::printf("a frame with a length of 16 MiB: %s\n", state(std::string("\x01\0\0\0\x05", 5)));
  std::printf("an unknown kind: %s\n", state(std::string("\0\0\0\0\x63", 5)));
  std::string ping = wt::encode(wt::Ping{7});
  std::printf("a ping: %s, without its last byte: %s\n", state(ping), state(ping.substr(0, ping.size() - 1)));
  ping[3] = 7;
  std::printf("a ping that ends within its field: %s\n", state(ping));
}

constexpr std::uint64_t kKeyCount = 4000;

// Prints the distribution of keys over owners and former owners.
void print_routes(const char* when, const KeyOwnership& ownership, double now) {
  int asked_first = 0, not_allowed = 0, two_former_owners = 0, without_owner = 0;
  std::vector<int> at(4);
  for (std::uint64_t key_hash = 1; key_hash <= kKeyCount; ++key_hash) {
    const KeyRoute route = ownership.route(key_hash, now);
    asked_first += !route.former_owners.empty();
    not_allowed += !route.may_run;
    two_former_owners += route.former_owners.size() > 1;
    without_owner += route.owner < 0;
    if (route.owner >= 0) ++at[static_cast<std::size_t>(route.owner)];
    if (std::find(route.former_owners.begin(), route.former_owners.end(), route.owner) !=
        route.former_owners.end())
      std::printf("the owner is also a former owner\n");
  }
  std::printf(
      "%-32s %4.0f%% %4.0f%% %4.0f%% %4.0f%%, lookup %3.0f%%, two lookups %3.0f%%, not yet %3.0f%%%s\n", when,
      at[0] * 100.0 / kKeyCount, at[1] * 100.0 / kKeyCount, at[2] * 100.0 / kKeyCount,
      at[3] * 100.0 / kKeyCount, asked_first * 100.0 / kKeyCount, two_former_owners * 100.0 / kKeyCount,
      not_allowed * 100.0 / kKeyCount, without_owner > 0 ? ", no owner" : "");
}

// The owners of keys while endpoint lists change.
void key_ownership() {
  const std::vector<std::pair<int, std::string>> three = {{0, "p1"}, {1, "p2"}, {2, "p3"}},
                                                 four = {{0, "p1"}, {1, "p2"}, {2, "p3"}, {3, "p4"}},
                                                 two = {{0, "p1"}, {2, "p3"}};
  KeyOwnership ownership({2, 10});
  ownership.set_planners(three, 0);
  print_routes("three planners", ownership, 0);
  ownership.set_planners(four, 100);
  print_routes("a fourth one is added", ownership, 100);
  print_routes("within the reload spread", ownership, 101.9);
  print_routes("after the reload spread", ownership, 102);
  print_routes("at the end of the retention", ownership, 111.9);
  print_routes("after the retention", ownership, 112);
  ownership.set_planners(two, 200);
  print_routes("two planners are removed", ownership, 200);
  ownership.set_planners(three, 203);
  print_routes("one of them is added again", ownership, 203);
  print_routes("second change: spread is over", ownership, 205);
  print_routes("first change: retention is over", ownership, 212);
  print_routes("second change: retention is over", ownership, 215);
  std::printf("complete at %.0f; p2 may remember keys at 211 %s, p4 at 212 %s\n",
              ownership.migration_ends_at(), ownership.may_remember_keys(1, 211) ? "yes" : "no",
              ownership.may_remember_keys(3, 212) ? "yes" : "no");
  ownership.set_planners({}, 300);
  print_routes("an empty list", ownership, 300);
  KeyOwnership again({2, 10});
  again.add_former_list(two, 295);
  again.set_planners(three, 300);
  print_routes("former list before the start", again, 300);
  KeyOwnership unknown_history({2, 10});
  unknown_history.set_planners(three, 0);
  unknown_history.assume_unknown_history(0);
  print_routes("the history is not known", unknown_history, 11.9);
  print_routes("the unknown history has expired", unknown_history, 12);
  KeyOwnership frequent_changes({2, 10});
  for (int i = 0; i < 10; ++i) frequent_changes.set_planners(i % 2 ? three : four, i);
  print_routes("more former lists than the limit", frequent_changes, 9);
  print_routes("the dropped list has expired", frequent_changes, 14);
  KeyOwnership without_retention({2, 0});
  without_retention.set_planners(three, 0);
  without_retention.set_planners(four, 1);
  print_routes("without retention", without_retention, 1);
}

// The codec of stored endpoint lists.
void endpoint_list_history() {
  EndpointListHistory record{{"10.0.0.1:7100", "10.0.0.2:7100"}, {{1000.5, {"10.0.0.1:7100"}}, {2000, {}}}};
  const std::string bytes = encode(record);
  const auto read = decode_endpoint_list_history(bytes);
  std::printf("round trip: %s\n", read && read->current == record.current && read->former.size() == 2 &&
                                          read->former[0].until == 1000.5 &&
                                          read->former[0].planners == record.former[0].planners
                                      ? "yes"
                                      : "no");
  int taken = 0, other = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (decode_endpoint_list_history(std::string_view(bytes).substr(0, i))) ++taken;
    for (int bit = 0; bit < 8; ++bit) {
      std::string corrupted = bytes;
      corrupted[i] = static_cast<char>(corrupted[i] ^ (1 << bit));
      const auto corrupted_history = decode_endpoint_list_history(corrupted);
      other += corrupted_history && encode(*corrupted_history).size() > kMaxEndpointListHistoryBytes;
    }
  }
  std::printf("truncated and accepted: %d; corrupted and out of bounds: %d\n", taken, other);
  record.former.assign(20, {1, {"a"}});
  for (std::size_t i = 0; i < 20; ++i) record.former[i].until = static_cast<double>(i);
  const auto newest = decode_endpoint_list_history(encode(record));
  std::printf("of twenty former lists %zu are stored, from %.0f on\n", newest->former.size(),
              newest->former.front().until);
  record.former.clear();
  record.current.assign(65, "a");
  std::printf("65 planners: %s\n", decode_endpoint_list_history(encode(record)) ? "accepted" : "rejected");
  record.current = {std::string(256, 'a')};
  std::printf("an address of 256 bytes: %s\n",
              decode_endpoint_list_history(encode(record)) ? "accepted" : "rejected");
  record.current = {""};
  std::printf("an empty address: %s\n",
              decode_endpoint_list_history(encode(record)) ? "accepted" : "rejected");
  std::string encoded =
      "\xa2\x68in_force\x80\x66"
      "former\x91";  // CBOR: an empty current list, 17 former lists
  for (int i = 0; i < 17; ++i) encoded += "\xa2\x65until\x01\x68planners\x80";
  std::printf("17 former lists: %s", decode_endpoint_list_history(encoded) ? "accepted" : "rejected");
  encoded[18] = '\x90';
  encoded.resize(encoded.size() - 18);
  std::printf("; 16: %s\n", decode_endpoint_list_history(encoded) ? "accepted" : "rejected");
  record = {{"a"}, {{std::nan(""), {"b"}}}};
  std::printf("a time that is not a number: %s\n",
              decode_endpoint_list_history(encode(record)) ? "accepted" : "rejected");
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"picker", picker},
                       {"wait_queue", wait_queue},
                       {"wait_estimator", wait_estimator},
                       {"forwarder_sessions", forwarder_sessions},
                       {"frames", frames},
                       {"key_ownership", key_ownership},
                       {"endpoint_list_history", endpoint_list_history}});
}

// The checks of an endings play after its timeline.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "endings_play.h"

namespace damsonspoke::standins {
namespace {

constexpr double kSettleSeconds = 8;
constexpr double kQuiescenceSeconds = 3;  // until counters are consistent after the load
constexpr double kCloseCrossingSeconds =
    0.05;  // a request that crosses a close may be lost according to the protocol
constexpr double kLateReaderCrossingSeconds =
    0.5;  // late readers must get answers to the requests sent at the notice, 1 s before the stop
constexpr std::ptrdiff_t kSpareDescriptors =
    2;  // for a file that is being replaced and a connection that is being closed

}  // namespace

// Stops the load, restarts members that are down, waits for all attempts, and checks that no resources leak.
void EndingsPlay::settle(std::vector<std::string>& broken) {
  floods_.clear();
  callers_->set_load_enabled(false);
  if (gateway_) gateway_->set_load_enabled(false);
  const double until = now() + kSettleSeconds;
  const auto all_up = [this] {
    return steps_.empty() && std::all_of(members_.begin(), members_.end(), [](const auto& member) {
             return member->is_up && member->stop_at < 0;
           });
  };
  while (now() < until && !all_up()) {
    run_until(now() - began_ + 0.05);
    for (const auto& member : members_) {
      if (!member->is_up) start(*member);
    }
  }
  const bool settled = loop_.run_until(
      [this] {
        return callers_->attempts_in_flight() == 0 && callers_->unfinished_tasks() == 0 &&
               (!gateway_ || gateway_->in_flight() == 0);
      },
      kSettleSeconds);
  if (!settled) broken.emplace_back("some attempts do not end");
  for (const auto& member : members_) check_counters(*member, broken);
  if (!drawn_.is_wide) return;
  for (const auto& member : members_) check_descriptors(*member, broken);
  check_registry(broken);
}

// Open descriptors except connections of callers and to the dependency. The links to the runtime and between
// the levels are permanent, so they are included.
std::ptrdiff_t EndingsPlay::base_descriptors(const Member& member) const {
  auto open = static_cast<std::ptrdiff_t>(member.server->process->descriptors());
  if (member.name[0] != 'p') open -= static_cast<std::ptrdiff_t>(callers_->connections(member.number));
  if (gateway_) open -= static_cast<std::ptrdiff_t>(gateway_->connections());
  return open - static_cast<std::ptrdiff_t>(member.server->dependency.connections());
}

void EndingsPlay::count_descriptors() {
  for (const auto& member : members_) member->base_descriptors = base_descriptors(*member);
}

void EndingsPlay::check_descriptors(Member& member, std::vector<std::string>& broken) {
  if (!member.is_up || member.base_descriptors < 0) return;
  const std::ptrdiff_t allowed = member.base_descriptors + kSpareDescriptors;
  loop_.run_until([&] { return base_descriptors(member) <= allowed; }, kQuiescenceSeconds);
  const std::ptrdiff_t open = base_descriptors(member);
  record(fmt::format("{} has {} descriptors apart from connections, {} after its start", member.name, open,
                     member.base_descriptors));
  if (open > allowed)
    broken.push_back(
        fmt::format("{} after the load: {} descriptors apart from connections, {} after its start",
                    member.name, open, member.base_descriptors));
}

// Each running member that callers use is listed in the registry.
void EndingsPlay::check_registry(std::vector<std::string>& broken) {
  for (const auto& member : members_) {
    if (member->name[0] == 'p' || !member->is_up) continue;
    const Registry& registry = member->server->registry;
    if (!loop_.run_until([&] { return registry.is_listed(); }, kQuiescenceSeconds))
      broken.push_back(member->name + " after the load: not listed in the registry");
  }
}

// Each request that was read was answered or its caller disconnected, and each run that was started has
// ended.
void EndingsPlay::check_counters(Member& member, std::vector<std::string>& broken) {
  std::string wrong;
  const double until = now() + kQuiescenceSeconds;
  do {
    wrong.clear();
    auto c = member.server->process->counters();
    if (c["invariants.broken"] > 0) wrong = "an invariant is violated";
    const std::uint64_t answered = c["requests.succeeded"] + c["requests.rejected"] + c["requests.failed"];
    const std::uint64_t disconnected = c["requests.caller_gone"];
    if (c["requests.read"] != answered + disconnected)
      wrong = fmt::format("{} requests read, {} answered, {} with disconnected callers", c["requests.read"],
                          answered, disconnected);
    const std::uint64_t ended = c["runs.succeeded"] + c["runs.failed"] + c["runs.cancelled"] +
                                c["runs.not_started"] + c["runs.given_up"];
    if (member.name[0] != 'f' && c["runs.started"] > ended + c["runs.resumed"])
      wrong = fmt::format("{} runs started, {} ended", c["runs.started"], ended);
    if (!wrong.empty()) loop_.run_for(0.2);
  } while (!wrong.empty() && now() < until);
  if (!wrong.empty()) broken.push_back(member.name + " after the load: " + wrong);
}

// Shuts down forwarders first, because a planner ends when no links or requests are open.
void EndingsPlay::shut_down_all(std::vector<std::string>& broken) {
  for (const char level : {'f', 'p', 'r'}) {
    for (const auto& member : members_) {
      if (member->name[0] == level && member->is_up) member->server->send_shutdown_notice();
    }
    for (const auto& member : members_) {
      if (member->name[0] != level || !member->is_up) continue;
      if (!member->server->wait_for_end())
        broken.push_back(member->name + " does not end before its stop time");
    }
  }
}

// A request may be lost only if its process is killed without notice, or if it crosses an orderly close of
// its connection. During a flood new connections may be rejected, so a request on a new connection that is
// closed before anything ran has failed rather than been lost.
void EndingsPlay::check_losses(std::vector<std::string>& broken) const {
  std::set<std::uint64_t> ran;
  for (const RecordedRun& run : journal_.runs) ran.insert(run.request);
  for (const auto& [request, t] : journal_.attempts) {
    for (const Answer& answer : t.answers) {
      if (answer.kind == AnswerKind::kInvalid)
        broken.push_back(fmt::format("{} {:016x} has an invalid answer", t.key, request));
    }
    const Incarnation& incarnation = journal_.incarnations.at(static_cast<std::size_t>(t.incarnation));
    if (!t.is_lost || incarnation.was_killed || !t.answers.empty()) continue;
    if (drawn_.is_wide && drawn_.has_flood && t.was_on_new_connection && !ran.contains(request)) continue;
    if (t.lost_at - t.sent <= (t.is_read_late ? kLateReaderCrossingSeconds : kCloseCrossingSeconds)) continue;
    broken.push_back(fmt::format("{} {:016x} was lost in life {}, {:.0f} ms after it was sent", t.key,
                                 request, t.incarnation, (t.lost_at - t.sent) * 1000));
  }
}

void EndingsPlay::check_service_rules(std::vector<std::string>& broken) const {
  RuleLimits limits;
  if (drawn_.stores_results) {
    limits.keyed_routes = {"close"};
    limits.key_windows["close"] = kEndingsKeyWindowSeconds;
  }
  limits.replies_name_calls = true;
  limits.are_starts_resent = drawn_.is_wide;
  // Runs that wait for their calls use no cores, so the limit holds only without calls.
  if (drawn_.calls_in_a_row == 0)
    limits.survivable_concurrency = 8 * 2 * std::max(1, std::max(drawn_.planners, drawn_.backends));
  const Verdict verdict = check_rules(journal_, limits);
  broken.insert(broken.end(), verdict.broken.begin(), verdict.broken.end());
}

}  // namespace damsonspoke::standins

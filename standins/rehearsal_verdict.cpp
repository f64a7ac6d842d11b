// Evaluates a rehearsal: the members' reports of one another, the four service rules, and the share of the
// load that was served, second by second.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "control/server.h"
#include "rehearsal.h"

namespace damsonspoke::standins {
namespace {

constexpr double kLateDetectionSeconds = 12;  // after the end of a process, in which it may be declared dead
constexpr double kNever = 1e300;
constexpr double kQueryTimeoutSeconds = 2;

// Counts the requests that were served within their latency objective. A request and its retries, which share
// a route and a key, count as one request.
class ServiceTally {
 public:
  ServiceTally(const RehearsalScript& script, double began, RehearsalResult& out)
      : script_(script), began_(began), out_(out) {}

  void count_attempt(const Attempt& attempt) {
    ++attempts_;
    RequestTally& tally = requests_[request_name(attempt)];
    tally.first_sent = std::min(tally.first_sent, attempt.sent);
    for (const RouteLoad& route : script_.routes) {
      if (route.name == attempt.type) tally.route = &route;
    }
    SecondStats& second = second_of(attempt.sent);
    ++second.attempts;
    for (const Answer& answer : attempt.answers) {
      second.rejected += answer.kind == AnswerKind::kRejected;
      second.failed += answer.kind != AnswerKind::kRejected && answer.kind != AnswerKind::kSucceeded;
    }
  }

  // Called after all attempts are counted: the latency objective starts at the request's first attempt.
  void count_answers(const Attempt& attempt) {
    RequestTally& tally = requests_[request_name(attempt)];
    const double deadline = tally.first_sent + tally.route->latency_objective;
    for (const Answer& answer : attempt.answers)
      tally.is_served |= answer.kind == AnswerKind::kSucceeded && answer.at <= deadline;
  }

  void write_result() {
    Share all;
    Share last;
    for (const auto& [name, tally] : requests_) {
      const double weight = tally.route->priority_weight;
      const double served = tally.is_served ? weight : 0;
      SecondStats& second = second_of(tally.first_sent);
      second.requested_weight += weight;
      second.served_weight += served;
      all.add(weight, served);
      if (tally.first_sent >= began_ + out_.load_seconds - script_.judged_seconds) last.add(weight, served);
    }
    out_.served_share = all.share();
    out_.served_share_at_end = last.share();
    if (!requests_.empty())
      out_.attempts_per_request = static_cast<double>(attempts_) / static_cast<double>(requests_.size());
  }

 private:
  struct RequestTally {
    double first_sent = kNever;
    const RouteLoad* route = nullptr;
    bool is_served = false;
  };
  struct Share {
    double requested = 0;
    double served = 0;
    void add(double weight, double served_weight) {
      requested += weight;
      served += served_weight;
    }
    [[nodiscard]] double share() const { return requested > 0 ? served / requested : 0; }
  };
  static std::string request_name(const Attempt& attempt) { return attempt.type + ' ' + attempt.key; }
  SecondStats& second_of(double at) {
    const double offset = std::clamp(at - began_, 0.0, out_.load_seconds);
    return out_.seconds[static_cast<std::size_t>(offset)];
  }

  const RehearsalScript& script_;
  const double began_;
  RehearsalResult& out_;
  int attempts_ = 0;
  std::map<std::string, RequestTally> requests_;
};

}  // namespace

std::vector<std::string> RehearsalResult::failures() const {
  std::vector<std::string> out = verdict.broken;
  if (!has_started) out.emplace_back("the fleet did not start");
  if (has_started && !has_settled) out.emplace_back("some attempts did not end");
  for (const std::string& death : false_deaths) out.emplace_back(death);
  if (!view_difference.empty()) out.emplace_back(view_difference);
  if (has_started && !has_shut_down) out.emplace_back("not all processes shut down gracefully");
  const auto invariants = counters.find("invariants.broken");
  if (invariants != counters.end() && invariants->second > 0) out.emplace_back("an invariant was violated");
  return out;
}

// ---- Membership.

// `1764700000.250 info members: member state changed member=p1 state=dead reason=...`
void Rehearsal::inspect_log_line(const std::string& by, const std::string& line) {
  if (line.find("member state changed") == std::string::npos || line.find("state=dead") == std::string::npos)
    return;
  if (line.find("reason=discovered") != std::string::npos)
    return;  // a process that has just started learns of a death that others have declared
  const std::size_t at = line.find("member=");
  const std::string of = line.substr(at + 7, line.find(' ', at) - at - 7);
  for (const auto& one : members_) {
    if (one->name != of) continue;
    if (!one->is_up || one->is_draining) {
      if (one->ended_at >= 0) detection_seconds_.push_back(now() - one->ended_at);
      return;
    }
    const bool was_paused =
        std::any_of(one->long_pauses.begin(), one->long_pauses.end(),
                    [](const auto& span) { return now() >= span.first && now() <= span.second; });
    // The declaration may concern the member's former process, which ended shortly before.
    if (was_paused || (one->ended_at >= 0 && now() - one->ended_at < kLateDetectionSeconds)) return;
    false_deaths_.push_back(
        fmt::format("at {:.2f} s {} declared {} dead, which was up", now() - began_, by, of));
    return;
  }
}

// Members that are up must see one another as `there` or `unsettled`.
std::string Rehearsal::find_view_difference() {
  for (const auto& one : members_) {
    if (!one->is_up) continue;
    nlohmann::json view;
    try {
      view = nlohmann::json::parse(
          control::send_query(one->server->folder(), {"members", "json"}, kQueryTimeoutSeconds));
    } catch (const std::exception& error) {
      return fmt::format("{} did not answer the query for its view: {}", one->name, error.what());
    }
    std::map<std::string, std::string> seen;
    for (const auto& entry : view.value("members", nlohmann::json::array()))
      seen[entry.value("name", "")] = entry.value("state", "");
    for (const auto& other : members_) {
      if (other == one || !other->is_up) continue;
      if (seen[other->name] != "there" && seen[other->name] != "unsettled")
        return fmt::format("{} sees {}, which is up, as {}", one->name, other->name,
                           seen[other->name].empty() ? "unknown" : seen[other->name]);
    }
  }
  return {};
}

void Rehearsal::judge(RehearsalResult& out, double began) {
  RuleLimits limits;
  for (const RouteLoad& route : script.routes) {
    if (route.idempotency != "retryable") limits.keyed_routes.push_back(route.name);
    if (route.idempotency == "dedup") limits.key_windows[route.name] = kRehearsalKeyWindowSeconds;
  }
  // The stand-in runtime keeps a run whose call has failed, unlike the platform's runtime, which ends it. So
  // with calls, its number of runs does not show how many requests the program runs at once.
  if (script.calling_share <= 0)
    limits.survivable_concurrency = 8 * script.cores * std::max(script.backends, script.planners);
  out.verdict = check_rules(journal, limits);
  out.seconds.resize(static_cast<std::size_t>(out.load_seconds) + 1);
  ServiceTally service(script, began, out);
  for (const auto& [number, attempt] : journal.attempts) {
    if (attempt.sent >= began) service.count_attempt(attempt);
  }
  for (const auto& [number, attempt] : journal.attempts) {
    if (attempt.sent >= began) service.count_answers(attempt);
  }
  service.write_result();
}

}  // namespace damsonspoke::standins

// What a rehearsal has shown: what members say of one another, the four rules, and who was served when.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "control/server.h"
#include "rehearsal.h"

namespace damsonspoke::standins {
namespace {

constexpr double kFoundLate = 12;   // s after an end in which it may still be told
constexpr double kAskPatience = 2;  // s

}  // namespace

std::vector<std::string> Played::broken() const {
  std::vector<std::string> out = verdict.broken;
  if (!came_up) out.push_back("the fleet does not come up");
  if (came_up && !settled) out.push_back("some tries never end");
  for (const std::string& wrong : deaths_wrong) out.push_back(wrong);
  if (!views_differ.empty()) out.push_back(views_differ);
  if (came_up && !left_in_order) out.push_back("not all leave in order");
  const auto invariants = counters.find("invariants.broken");
  if (invariants != counters.end() && invariants->second > 0) out.push_back("an invariant is broken");
  return out;
}

// ---- What members say of one another.

// `2026... info members: a member's state member=p1 state=dead why=...`
void Rehearsal::look_at_line(const std::string& by, const std::string& line) {
  if (line.find("a member's state") == std::string::npos || line.find("state=dead") == std::string::npos)
    return;
  if (line.find("why=heard of") != std::string::npos || line.find("why=\"heard of") != std::string::npos)
    return;  // a newcomer's first news
  const std::size_t at = line.find("member=");
  const std::string of = line.substr(at + 7, line.find(' ', at) - at - 7);
  for (const auto& one : members_) {
    if (one->name != of) continue;
    if (!one->up || one->leaving) {
      if (one->ended_at >= 0) deaths_found_.push_back(now() - one->ended_at);
      return;
    }
    const bool still = std::any_of(one->still.begin(), one->still.end(), [](const auto& span) {
      return now() >= span.first && now() <= span.second;
    });
    // Its last end may be what was found, late.
    if (still || (one->ended_at >= 0 && now() - one->ended_at < kFoundLate)) return;
    deaths_wrong_.push_back(fmt::format("at {:.2f} s {} calls {} dead, which is up", now() - began_, by, of));
    return;
  }
}

// Empty where all that are up see one another as there.
std::string Rehearsal::compare_views() {
  for (const auto& one : members_) {
    if (!one->up) continue;
    nlohmann::json view;
    try {
      view = nlohmann::json::parse(control::ask(one->server->folder(), {"members", "json"}, kAskPatience));
    } catch (const std::exception& error) {
      return fmt::format("{} does not tell its view: {}", one->name, error.what());
    }
    std::map<std::string, std::string> seen;
    for (const auto& entry : view.value("members", nlohmann::json::array()))
      seen[entry.value("name", "")] = entry.value("state", "");
    for (const auto& other : members_) {
      if (other == one || !other->up) continue;
      if (seen[other->name] != "there" && seen[other->name] != "unsettled")
        return fmt::format("{} sees {} as {}, which is up", one->name, other->name,
                           seen[other->name].empty() ? "unknown" : seen[other->name]);
    }
  }
  return {};
}

void Rehearsal::judge(Played& out, double began) {
  RuleLimits limits;
  for (const LoadRequest& request : script.requests) {
    if (request.idempotency != "retryable") limits.keyed.push_back(request.name);
  }
  // The stand-in keeps runs whose request has failed at a call, which the platform's runtime ends: with calls
  // its count says nothing of the crowd.
  if (script.calls <= 0) limits.survivable = 8 * script.cores * std::max(script.relays, script.planners);
  out.verdict = check_rules(journal, limits);
  struct Thing {
    double first = 1e300;
    const LoadRequest* request = nullptr;
    bool served = false;
  };
  std::map<std::string, Thing> things;
  out.seconds.resize(static_cast<std::size_t>(out.lasted) + 1);
  int tries = 0;
  const auto second_of = [&](double at) -> SecondSeen& {
    const double place = std::clamp(at - began, 0.0, out.lasted);
    return out.seconds[static_cast<std::size_t>(place)];
  };
  for (const auto& [number, t] : journal.tries) {
    if (t.refused || t.sent < began) continue;
    ++tries;
    Thing& thing = things[t.type + ' ' + t.key];
    thing.first = std::min(thing.first, t.sent);
    for (const LoadRequest& request : script.requests) {
      if (request.name == t.type) thing.request = &request;
    }
    SecondSeen& second = second_of(t.sent);
    ++second.tries;
    for (const Answer& a : t.answers) {
      second.rejected += a.kind == AnswerKind::kRejected;
      second.failed += a.kind != AnswerKind::kRejected && a.kind != AnswerKind::kSucceeded;
    }
  }
  for (const auto& [number, t] : journal.tries) {
    if (t.refused || t.sent < began) continue;
    Thing& thing = things[t.type + ' ' + t.key];
    for (const Answer& a : t.answers)
      thing.served |= a.kind == AnswerKind::kSucceeded && a.at <= thing.first + thing.request->target;
  }
  double asked = 0, served = 0, asked_last = 0, served_last = 0;
  for (const auto& [key, thing] : things) {
    const double worth = thing.request->priority_weight, got = thing.served ? worth : 0;
    SecondSeen& second = second_of(thing.first);
    second.asked += worth, second.served += got;
    asked += worth, served += got;
    if (thing.first >= began + out.lasted - script.judged) asked_last += worth, served_last += got;
  }
  out.served = asked > 0 ? served / asked : 0;
  out.served_last = asked_last > 0 ? served_last / asked_last : 0;
  out.attempts_a_request =
      things.empty() ? 0 : static_cast<double>(tries) / static_cast<double>(things.size());
}

}  // namespace damsonspoke::standins

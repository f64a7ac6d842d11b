// What a rehearsal has shown: what members say of one another, the four rules, and who was served when.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "control/server.h"
#include "rehearsal.h"

namespace damsonspoke::standins {
namespace {

constexpr double kFoundLate = 12;   // s after an end in which it may still be told
constexpr double kNever = 1e300;    // s
constexpr double kAskPatience = 2;  // s

// Who was served in time, by what was asked for: a request and its further tries are one thing.
class Service {
 public:
  Service(const RehearsalScript& script, double began, Played& out)
      : script_(script), began_(began), out_(out) {}

  void count_try(const Attempt& attempt) {
    ++tries_;
    Thing& thing = things_[name_of(attempt)];
    thing.first = std::min(thing.first, attempt.sent);
    for (const LoadRequest& request : script_.requests) {
      if (request.name == attempt.type) thing.request = &request;
    }
    SecondSeen& second = second_of(attempt.sent);
    ++second.tries;
    for (const Answer& answer : attempt.answers) {
      second.rejected += answer.kind == AnswerKind::kRejected;
      second.failed += answer.kind != AnswerKind::kRejected && answer.kind != AnswerKind::kSucceeded;
    }
  }

  // Once all tries are counted: a thing's time runs from its first.
  void count_answers(const Attempt& attempt) {
    Thing& thing = things_[name_of(attempt)];
    const double due = thing.first + thing.request->target;
    for (const Answer& answer : attempt.answers)
      thing.served |= answer.kind == AnswerKind::kSucceeded && answer.at <= due;
  }

  void sum_up() {
    Share all;
    Share last;
    for (const auto& [name, thing] : things_) {
      const double worth = thing.request->priority_weight;
      const double served = thing.served ? worth : 0;
      SecondSeen& second = second_of(thing.first);
      second.asked += worth;
      second.served += served;
      all.add(worth, served);
      if (thing.first >= began_ + out_.lasted - script_.judged) last.add(worth, served);
    }
    out_.served = all.share();
    out_.served_last = last.share();
    if (!things_.empty())
      out_.attempts_a_request = static_cast<double>(tries_) / static_cast<double>(things_.size());
  }

 private:
  struct Thing {
    double first = kNever;  // s, when it was first asked for
    const LoadRequest* request = nullptr;
    bool served = false;
  };
  struct Share {
    double asked = 0;
    double served = 0;
    void add(double worth, double got) {
      asked += worth;
      served += got;
    }
    [[nodiscard]] double share() const { return asked > 0 ? served / asked : 0; }
  };
  static std::string name_of(const Attempt& attempt) { return attempt.type + ' ' + attempt.key; }
  SecondSeen& second_of(double at) {
    const double place = std::clamp(at - began_, 0.0, out_.lasted);
    return out_.seconds[static_cast<std::size_t>(place)];
  }

  const RehearsalScript& script_;
  const double began_;
  Played& out_;
  int tries_ = 0;
  std::map<std::string, Thing> things_;
};

}  // namespace

std::vector<std::string> Played::broken() const {
  std::vector<std::string> out = verdict.broken;
  if (!came_up) out.emplace_back("the fleet does not come up");
  if (came_up && !settled) out.emplace_back("some tries never end");
  for (const std::string& wrong : deaths_wrong) out.emplace_back(wrong);
  if (!views_differ.empty()) out.emplace_back(views_differ);
  if (came_up && !left_in_order) out.emplace_back("not all leave in order");
  const auto invariants = counters.find("invariants.broken");
  if (invariants != counters.end() && invariants->second > 0) out.emplace_back("an invariant is broken");
  return out;
}

// ---- What members say of one another.

// `1764700000.250 info members: member state changed member=p1 state=dead reason=...`
void Rehearsal::look_at_line(const std::string& by, const std::string& line) {
  if (line.find("member state changed") == std::string::npos || line.find("state=dead") == std::string::npos)
    return;
  if (line.find("reason=discovered") != std::string::npos)
    return;  // a process that has just started learns of a death that others have declared
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
      view = nlohmann::json::parse(
          control::send_query(one->server->folder(), {"members", "json"}, kAskPatience));
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
  out.seconds.resize(static_cast<std::size_t>(out.lasted) + 1);
  Service service(script, began, out);
  for (const auto& [number, attempt] : journal.attempts) {
    if (!attempt.refused && attempt.sent >= began) service.count_try(attempt);
  }
  for (const auto& [number, attempt] : journal.attempts) {
    if (!attempt.refused && attempt.sent >= began) service.count_answers(attempt);
  }
  service.sum_up();
}

}  // namespace damsonspoke::standins

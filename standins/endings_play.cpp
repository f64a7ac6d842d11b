#include "endings_play.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "journal_file.h"

namespace damsonspoke::standins {
namespace {

constexpr double kLoadSeconds = 4;
constexpr double kStopSeconds = 1;           // from the notice to SIGKILL, as the settings tell
constexpr double kLatestStartSeconds = 0.3;  // of a new life after an end
constexpr double kReloadSeconds = 0.15;      // that a file stays in place to be read
constexpr double kLongestPauseSeconds = 0.25;
constexpr double kResumeSeconds = 0.3;  // after a pause, in which what waited is caught up with
constexpr double kExitSeconds =
    3;  // beyond the stop, once all is closed: sanitizers look for leaks at the exit
constexpr double kUpSeconds = 20;
constexpr double kSettleSeconds = 8;
constexpr double kQuietSeconds = 3;  // until counters agree once callers want nothing
constexpr double kCrossingSeconds =
    0.05;  // a request that crosses a close may be lost, says the protocol page
constexpr int kWritesAtTheEnd = 12;
constexpr double kPatience = 1;  // s, of most callers
constexpr double kKeyWindow = 20;

const char* const kAjpRoutes =
    "    map POST /ops/read  read  wait=header:x-wait-ms caller=header:x-hotel held=10\n"
    "    map POST /ops/close close wait=header:x-wait-ms caller=header:x-hotel held=10\n"
    "    map POST /ops/brief brief wait=header:x-wait-ms caller=header:x-hotel held=10\n";

Callers::Options load_of(const EndingsFleet& fleet, std::uint64_t seed) {
  Callers::Options load;
  load.flows = {{"read", 70, kPatience}, {"close", 30, kPatience}, {"brief", 10, 0.002}};
  for (Flow& flow : load.flows) {
    flow.retries = 2;
    flow.pause = 0.05;
  }
  load.flows[1].marked = fleet.keeps_results;
  load.connections = 4;
  load.seed = seed;
  load.ignores_no_more = true;
  return load;
}

}  // namespace

EndingsFleet draw_endings_fleet(pcg64& random) {
  EndingsFleet out;
  const auto one_in = [&](unsigned n) { return random() % n == 0; };
  if (one_in(2)) {
    out.forwarders = 2;
    out.planners = 2 + static_cast<int>(random() % 2);
  } else {
    out.backends = 1 + static_cast<int>(random() % 2);
  }
  out.by_ajp = out.backends == 1 && one_in(2);
  // A key is remembered by one backend: with two, a further try at the other would run again.
  out.keeps_results = out.backends != 2 && one_in(2);
  out.limits_connections = out.backends > 0 && one_in(2);
  out.keeps_statistics = one_in(2);
  out.has_crowd = out.backends > 0 && one_in(3);
  return out;
}

std::string text_of(const EndingsFleet& fleet) {
  std::string out = fleet.backends > 0
                        ? fmt::format("{} backends", fleet.backends)
                        : fmt::format("{} forwarders, {} planners", fleet.forwarders, fleet.planners);
  if (fleet.by_ajp) out += ", AJP too";
  if (fleet.keeps_results) out += ", results stored";
  if (fleet.keeps_statistics) out += ", statistics stored";
  if (fleet.limits_connections) out += ", connections limited";
  if (fleet.has_crowd) out += ", a crowd";
  return out;
}

EndingsPlay::EndingsPlay(std::string binary, std::uint64_t seed, std::string folder)
    : binary_(std::move(binary)),
      folder_(std::move(folder)),
      random_(seed),
      drawn_(draw_endings_fleet(random_)) {
  std::filesystem::create_directories(folder_);
  callers_ = std::make_unique<Callers>(loop_, journal_, load_of(drawn_, seed));
  build();
}

EndingsPlay::~EndingsPlay() = default;

double EndingsPlay::chance() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }

void EndingsPlay::note(const std::string& text) {
  std::ofstream(folder_ + "/timeline.txt", std::ios::app) << fmt::format("{:.4f} {}\n", now() - began_, text);
}

// ---- The fleet.

SiteSpec EndingsPlay::site_of(const std::string& command, const std::string& name) const {
  SiteSpec site;
  const char* close = drawn_.keeps_results ? "dedup" : "retryable";
  site.types = {{"read", "retryable", 0.5, kPatience, 0, 1},
                {"close", close, 0.5, kPatience, drawn_.keeps_results ? kKeyWindow : 0, 3},
                {"brief", "retryable", 0.1, kPatience, 0, 1}};
  site.command = command;
  site.name = name;
  site.stop_after = kStopSeconds;
  const bool has_statistics = drawn_.keeps_statistics && command != "forward";
  site.operators =
      has_statistics ? "knowledge\n    enabled on\n    folder FOLDER\n" : "control\n    folder FOLDER\n";
  // Forwarders read the name of the key's field there.
  if (drawn_.keeps_results) site.operators += "results\n    enabled on\n    store STORE\n";
  return site;
}

void EndingsPlay::add_member(const std::string& command, const std::string& name, int number,
                             const std::string& more) {
  auto member = std::make_unique<Member>();
  member->name = name;
  SiteSpec site = site_of(command, name);
  site.operators += more;
  if (command != "plan") site.port = lasting_port();
  Runtime::Options runtime;
  runtime.work = 0.01;
  member->server = std::make_unique<Server>(loop_, journal_, *callers_, binary_, site, runtime, number);
  std::ifstream in(member->server->operators_path());
  member->operators = {std::istreambuf_iterator<char>(in), {}};
  member->server->on_line = [this, one = member.get()](const std::string& line) { on_line(*one, line); };
  members_.push_back(std::move(member));
}

void EndingsPlay::build() {
  std::string planners;
  for (int i = 1; i <= drawn_.planners; ++i) {
    add_member("plan", fmt::format("p{}", i), 0, "");
    planners += ' ' + members_.back()->server->address();
  }
  for (int i = 0; i < drawn_.forwarders; ++i)
    add_member("forward", fmt::format("f{}", i + 1), i, "forward\n    planners" + planners + '\n');
  std::string more;
  if (drawn_.limits_connections) more += "gate\n    enabled on\n    known-after 10\n";
  if (drawn_.by_ajp) more += std::string("ajp\n    listen 127.0.0.1:0\n") + kAjpRoutes;
  for (int i = 0; i < drawn_.backends; ++i) add_member("serve", fmt::format("r{}", i + 1), i, more);
  if (!drawn_.by_ajp) return;
  AjpGateway::Options options;
  options.flows = {{"read", 20, kPatience}};
  if (!drawn_.keeps_results) options.flows.push_back({"close", 10, kPatience});
  options.connections = 8;
  gateway_ = std::make_unique<AjpGateway>(loop_, journal_, options);
}

void EndingsPlay::on_line(Member& member, const std::string& line) {
  std::ofstream(folder_ + "/" + member.name + ".log", std::ios::app) << line << '\n';
  for (const char* bad : {"ERROR: AddressSanitizer", "runtime error:", "ERROR: LeakSanitizer",
                          "state=disabled", "state=unavailable"}) {
    if (line.find(bad) != std::string::npos) findings_.push_back(member.name + ": " + line);
  }
  if (line.find("left after") != std::string::npos) member.has_left = true;
  const std::size_t ajp = line.find("takes AJP callers on port ");
  if (ajp == std::string::npos || !gateway_) return;
  const int port = std::atoi(line.c_str() + line.rfind(' ') + 1);
  gateway_->reach(static_cast<std::uint16_t>(port), member.server->life_number());
}

// ---- What happens to a process.

bool EndingsPlay::start(Member& member) {
  if (member.is_up) return true;
  member.server->write_operators(member.operators);
  member.is_up = member.server->start();
  member.stop_at = -1;
  member.was_stopped_by_force = member.has_left = false;
  note(fmt::format("{} is up as life {}: {}", member.name, member.server->life_number(), member.is_up));
  if (!member.is_up) findings_.push_back(member.name + " does not start");
  return member.is_up;
}

void EndingsPlay::kill(Member& member) {
  if (!member.is_up || member.stop_at >= 0) return;
  note(member.name + " is killed without notice");
  member.server->kill();
  member.is_up = false;
  at(now() - began_ + chance() * kLatestStartSeconds, [this, &member] { start(member); });
}

void EndingsPlay::give_notice(Member& member) {
  if (!member.is_up) return;
  if (member.stop_at >= 0) return signal(member, SIGTERM, "SIGTERM again");
  note(member.name + " gets its notice");
  member.server->notice();
  // A process that stands still hears of it later; that time does not count against it.
  member.stop_at = std::max(now(), member.paused_until) + kStopSeconds;
  write_at_the_end(member);
}

// Tries in the moments in which the listener closes, connections end and the process exits.
void EndingsPlay::write_at_the_end(const Member& member) {
  if (member.server->port() == 0 || member.name[0] == 'p') return;
  for (int i = 0; i < kWritesAtTheEnd; ++i) {
    const double when = member.stop_at - began_ - chance() * 0.2;
    at(when, [this, i] {
      const Flow flow{"read", 0, i % 3 == 0 ? 0.002 : kPatience};
      const std::string key = fmt::format("end-{}-{}", now(), i);
      callers_->ask(flow, key, key + ' ', i % 4 == 3);
    });
  }
}

void EndingsPlay::signal(Member& member, int number, const char* name) {
  if (!member.is_up) return;
  note(fmt::format("{} gets {}", member.name, name));
  member.server->process->signal(number);
}

// A file that can't be used is only there until it has been read: the next start needs a sound one.
void EndingsPlay::reload(Member& member, bool sound) {
  if (!member.is_up) return;
  if (!sound) member.server->write_operators(member.operators + "results\n    entries -1\n");
  signal(member, SIGHUP, sound ? "SIGHUP" : "SIGHUP with a bad file");
  if (sound) return;
  at(now() - began_ + kReloadSeconds, [&member] { member.server->write_operators(member.operators); });
}

void EndingsPlay::pause(Member& member, double seconds) {
  if (!member.is_up || member.stop_at >= 0) return;
  signal(member, SIGSTOP, "SIGSTOP");
  auto& life = journal_.lives.at(static_cast<std::size_t>(member.server->life_number()));
  life.out_of_reach.emplace_back(now(), now() + seconds + kResumeSeconds);
  member.paused_until = now() + seconds;
  at(now() - began_ + seconds, [this, &member] { signal(member, SIGCONT, "SIGCONT"); });
}

// Who was given notice is killed at its stop, no sooner; who has ended starts again.
void EndingsPlay::look_after_ends() {
  for (const auto& one : members_) {
    Member& member = *one;
    if (!member.is_up || member.stop_at < 0) continue;
    if (member.server->process->over()) {
      finish_end(member);
    } else if (now() >= member.stop_at + (member.has_left ? kExitSeconds : 0) &&
               !member.was_stopped_by_force) {
      note(member.name + " is killed at its stop");
      member.was_stopped_by_force = true;
      member.server->process->signal(SIGKILL);
    }
  }
}

void EndingsPlay::finish_end(Member& member) {
  member.server->ended();
  note(member.name + " has ended");
  member.is_up = false;
  member.stop_at = -1;
  if (now() - began_ < kLoadSeconds)
    at(now() - began_ + chance() * kLatestStartSeconds, [this, &member] { start(member); });
}

// ---- The timeline.

void EndingsPlay::draw_event(std::size_t number, double when) {
  Member& member = *members_[number];
  switch (random_() % 9) {
    case 0:
    case 1:
    case 2: at(when, [this, &member] { give_notice(member); }); break;
    case 3: at(when, [this, &member] { kill(member); }); break;
    case 4: at(when, [this, &member] { reload(member, true); }); break;
    case 5: at(when, [this, &member] { reload(member, false); }); break;
    case 6: at(when, [this, &member] { signal(member, SIGUSR1, "SIGUSR1"); }); break;
    case 7: {
      const double seconds = chance() * kLongestPauseSeconds;
      at(when, [this, &member, seconds] { pause(member, seconds); });
      break;
    }
    default:
      at(when, [this, &member] {
        note("the runtime's link of " + member.name + " is cut");
        member.server->runtime.break_link();
      });
  }
}

void EndingsPlay::draw_timeline() {
  const int events = 6 + static_cast<int>(random_() % 8);
  for (int i = 0; i < events; ++i) {
    const std::size_t member = random_() % members_.size();
    const double when = 0.3 + chance() * (kLoadSeconds - 0.3);
    draw_event(member, when);
    // A second one in the same millisecond, or while the first is carried out.
    if (one_in(3)) draw_event(member, when + (one_in(2) ? 0 : chance() * kStopSeconds));
  }
  if (!drawn_.has_crowd) return;
  const std::array<FloodShape, 4> shapes = {FloodShape::kSilent, FloodShape::kReset, FloodShape::kDrip,
                                            FloodShape::kJunk};
  const FloodShape shape = shapes[random_() % shapes.size()];
  at(0.5 + chance(), [this, shape] {
    if (!members_.front()->is_up) return;
    note("a crowd comes");
    floods_.push_back(
        std::make_unique<Flood>(members_.front()->server->port(), Flood::Options{shape, 200, 10, 800}));
  });
  at(2.5, [this] { floods_.clear(); });
}

void EndingsPlay::run_until(double time) {
  const auto next_step = [this] { return steps_.empty() ? 1e9 : steps_.begin()->first; };
  while (now() - began_ < time) {
    const double until = std::min(time, next_step());
    loop_.run_until(
        [&] {
          look_after_ends();
          return now() - began_ >= std::min(until, next_step());
        },
        kLoadSeconds + kUpSeconds);
    while (!steps_.empty() && steps_.begin()->first <= now() - began_)
      steps_.extract(steps_.begin()).mapped()();
  }
}

std::vector<std::string> EndingsPlay::play() {
  std::vector<std::string> broken;
  for (const auto& member : members_) {
    if (!start(*member)) return {member->name + " does not start"};
  }
  const bool listed = loop_.run_until(
      [this] {
        return std::all_of(members_.begin(), members_.end(), [](const auto& member) {
          return member->name[0] == 'p' || member->server->roster.listed();
        });
      },
      kUpSeconds);
  if (!listed) return {"the fleet does not come up"};
  began_ = now();
  note("seed draws " + text_of(drawn_));
  draw_timeline();
  run_until(kLoadSeconds);
  settle(broken);
  leave(broken);
  check_losses(broken);
  check_rules_of_service(broken);
  broken.insert(broken.end(), findings_.begin(), findings_.end());
  write_journal(journal_, began_, folder_ + "/journal.txt");
  return broken;
}

// ---- The verdict.

// All are up again, callers want nothing more, and nothing is left over.
void EndingsPlay::settle(std::vector<std::string>& broken) {
  floods_.clear();
  callers_->want_more(false);
  if (gateway_) gateway_->want_more(false);
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
        return callers_->open() == 0 && callers_->still_wanted() == 0 && (!gateway_ || gateway_->open() == 0);
      },
      kSettleSeconds);
  if (!settled) broken.emplace_back("some tries never end");
  for (const auto& member : members_) check_counters(*member, broken);
}

// What was read was answered or has lost its caller; what was started has ended.
void EndingsPlay::check_counters(Member& member, std::vector<std::string>& broken) {
  std::string wrong;
  const double until = now() + kQuietSeconds;
  do {
    wrong.clear();
    auto c = member.server->process->counters();
    if (c["invariants.broken"] > 0) wrong = "an invariant is broken";
    const std::uint64_t answered = c["requests.succeeded"] + c["requests.rejected"] + c["requests.failed"];
    const std::uint64_t gone = c["requests.caller_gone"];
    if (c["requests.read"] != answered + gone)
      wrong = fmt::format("{} requests read, {} answered, {} without a caller", c["requests.read"], answered,
                          gone);
    const std::uint64_t ended = c["runs.succeeded"] + c["runs.failed"] + c["runs.cancelled"] +
                                c["runs.not_started"] + c["runs.given_up"];
    if (member.name[0] != 'f' && c["runs.started"] > ended + c["runs.resumed"])
      wrong = fmt::format("{} runs started, {} ended", c["runs.started"], ended);
    if (!wrong.empty()) loop_.run_for(0.2);
  } while (!wrong.empty() && now() < until);
  if (!wrong.empty()) broken.push_back(member.name + " once quiet: " + wrong);
}

// Forwarders first: a planner ends once nothing is open there.
void EndingsPlay::leave(std::vector<std::string>& broken) {
  for (const char level : {'f', 'p', 'r'}) {
    for (const auto& member : members_) {
      if (member->name[0] == level && member->is_up) member->server->notice();
    }
    for (const auto& member : members_) {
      if (member->name[0] != level || !member->is_up) continue;
      if (!member->server->ended()) broken.push_back(member->name + " does not end by its stop");
    }
  }
}

// A request may be lost with a kill without notice, or where it crosses an orderly close.
void EndingsPlay::check_losses(std::vector<std::string>& broken) const {
  for (const auto& [request, t] : journal_.tries) {
    for (const Answer& answer : t.answers) {
      if (answer.kind == AnswerKind::kBad)
        broken.push_back(fmt::format("{} {:016x} has an invalid answer", t.key, request));
    }
    const Life& life = journal_.lives.at(static_cast<std::size_t>(t.life));
    if (!t.lost || life.killed || !t.answers.empty()) continue;
    if (t.lost_at - t.sent <= kCrossingSeconds) continue;
    broken.push_back(fmt::format("{} {:016x} was lost in life {}, {:.0f} ms after it was sent", t.key,
                                 request, t.life, (t.lost_at - t.sent) * 1000));
  }
}

void EndingsPlay::check_rules_of_service(std::vector<std::string>& broken) const {
  RuleLimits limits;
  if (drawn_.keeps_results) limits.keyed = {"close"};
  limits.survivable = 8 * 2 * std::max(1, std::max(drawn_.planners, drawn_.backends));
  const Verdict verdict = check_rules(journal_, limits);
  broken.insert(broken.end(), verdict.broken.begin(), verdict.broken.end());
}

}  // namespace damsonspoke::standins

// The faults of a rehearsal: what happens to processes and to the network between them, and when.
#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "rehearsal.h"

namespace damsonspoke::standins {
namespace {

constexpr double kResumed = 0.3;        // s after a pause in which what waited is caught up with
constexpr double kBorne = 1.95;         // s that a member may stand still and is not called dead
constexpr double kReplacedAfter = 0.4;  // s from the notice to leave until the successor starts
constexpr double kReadWithin = 0.1;     // s in which a process reads its configuration again
constexpr int kFull = 4096;             // bytes that a file may have on a full disk

pid_t burner() {
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  ::alarm(60);  // whatever becomes of who started it
  for (;;) ::getppid();
}

void limit(pid_t pid, __rlimit_resource what, rlim_t to) {
  rlimit now{};
  if (::prlimit(pid, what, nullptr, &now) != 0) return;
  now.rlim_cur = std::min(to, now.rlim_max);
  ::prlimit(pid, what, &now, nullptr);
}

}  // namespace

// ---- What happens to a process.

void Rehearsal::out_of_reach(const std::string& name, double from, double to) {
  const int incarnation = member(name).server->incarnation_number();
  if (incarnation >= 0)
    journal.incarnations.at(static_cast<std::size_t>(incarnation)).unreachable_periods.emplace_back(from, to);
}

void Rehearsal::start(const std::string& name) {
  Member& one = member(name);
  if (one.leaving) {
    one.server->wait_for_end();
    one.ended_at = now();
    one.up = one.leaving = false;
  }
  if (one.up) return;
  const double asked_at = now();
  one.up = one.server->start();
  last_start_seconds_ = now() - asked_at;
  if (!one.up) journal.incarnations.back().status = -1, journal.incarnations.back().ended_at = now();
}

void Rehearsal::kill(const std::string& name) {
  Member& one = member(name);
  if (!one.up) return;
  one.ended_at = now();
  one.server->kill();
  one.up = one.leaving = one.paused = false;
}

void Rehearsal::begin_leaving(const std::string& name) {
  Member& one = member(name);
  if (!one.up || one.leaving) return;
  one.leaving = true;
  one.server->send_shutdown_notice();
}

// Its Unix clock jumps; what its callers tell it in Unix time is wrong from then on until it is set right, so
// its requests are judged by the other rules only.
void Rehearsal::step_clock(const std::string& name, double seconds) {
  Member& one = member(name);
  double shift = 0;
  std::fstream file(one.clock, std::ios::in | std::ios::out | std::ios::binary);
  file.read(reinterpret_cast<char*>(&shift), sizeof shift);
  shift += seconds;
  file.seekp(0);
  file.write(reinterpret_cast<const char*>(&shift), sizeof shift);
  if (shift != 0) out_of_reach(name, now(), now() + 1e6);
}

void Rehearsal::pause(const std::string& name, double seconds) {
  Member& one = member(name);
  if (!one.up || one.paused) return;
  one.paused = true;
  one.server->process->signal(SIGSTOP);
  out_of_reach(name, now(), now() + seconds + kResumed);
  if (seconds > kBorne) one.still.emplace_back(now() + kBorne, now() + seconds + kResumed + 1);
}

// ---- The timeline.

std::vector<std::pair<std::string, std::string>> Rehearsal::pairs(const FaultSpec& fault) const {
  std::vector<std::pair<std::string, std::string>> out;
  for (const std::string& a : group(fault.who[0])) {
    for (const std::string& b : group(fault.who[1])) {
      if (a != b) out.emplace_back(a, b);
    }
  }
  return out;
}

void Rehearsal::weather(const FaultSpec& fault, const std::function<void(LinkConditions&)>& change,
                        const std::function<void(LinkConditions&)>& back) {
  const auto apply = [this](const std::pair<std::string, std::string>& pair,
                            const std::function<void(LinkConditions&)>& how) {
    LinkConditions now_there = between_.conditions(pair.first, pair.second);
    how(now_there);
    between_.set(pair.first, pair.second, now_there);
  };
  add(fault.at, [this, fault, change, apply] {
    for (const auto& pair : pairs(fault)) {
      apply(pair, change);
      // Callers judge a server by what they get: a link of theirs that is cut says nothing of it.
      const std::string& server = pair.first == "callers" ? pair.second : pair.first;
      if (pair.first == "callers" || pair.second == "callers")
        out_of_reach(server, now(), now() + fault.lasts + kResumed);
    }
  });
  add(fault.at + fault.lasts, [this, fault, back, apply] {
    for (const auto& pair : pairs(fault)) apply(pair, back);
  });
}

void Rehearsal::plan_pairs(const FaultSpec& fault) {
  const double amount = fault.amount;
  const auto none = [](LinkConditions&) {};
  if (fault.what == "cut" || fault.what == "part") {
    weather(
        fault, [](LinkConditions& w) { w.cut = true; }, [](LinkConditions& w) { w.cut = false; });
    if (fault.what == "cut") return;
    FaultSpec other = fault;
    std::swap(other.who[0], other.who[1]);
    weather(
        other, [](LinkConditions& w) { w.cut = true; }, [](LinkConditions& w) { w.cut = false; });
  } else if (fault.what == "refuse") {
    weather(
        fault, [](LinkConditions& w) { w.refused = true; }, [](LinkConditions& w) { w.refused = false; });
  } else if (fault.what == "delay") {
    weather(
        fault, [amount](LinkConditions& w) { w.delay = amount, w.jitter = amount / 2; },
        [](LinkConditions& w) { w.delay = w.jitter = 0; });
  } else if (fault.what == "lose") {
    weather(
        fault, [amount](LinkConditions& w) { w.loss = amount; }, [](LinkConditions& w) { w.loss = 0; });
  } else if (fault.what == "muddle") {
    weather(
        fault, [amount](LinkConditions& w) { w.duplicated = w.reordered = amount; },
        [](LinkConditions& w) { w.duplicated = w.reordered = 0; });
  } else if (fault.what == "narrow") {
    weather(
        fault, [amount](LinkConditions& w) { w.bytes_per_s = amount; },
        [](LinkConditions& w) { w.bytes_per_s = 0; });
  } else if (fault.what == "reset") {
    weather(fault, none, none);
    add(fault.at, [this, fault] {
      for (const auto& [a, b] : pairs(fault)) between_.reset(a, b);
    });
  }
}

void Rehearsal::over_group(const FaultSpec& fault, double at, const ProcessAct& act) {
  add(at, [this, fault, act] {
    for (const std::string& name : group(fault.who[0])) act(name);
  });
}

void Rehearsal::plan_one(const FaultSpec& fault) {
  using Planner = void (Rehearsal::*)(const FaultSpec&);
  static const std::map<std::string, Planner> kPlanners = {{"kill", &Rehearsal::plan_life},
                                                           {"start", &Rehearsal::plan_life},
                                                           {"leave", &Rehearsal::plan_life},
                                                           {"replace", &Rehearsal::plan_replacement},
                                                           {"pause", &Rehearsal::plan_pause},
                                                           {"step", &Rehearsal::plan_clock_step},
                                                           {"step_back", &Rehearsal::plan_clock_step},
                                                           {"crowd", &Rehearsal::plan_crowd},
                                                           {"descriptors", &Rehearsal::plan_limit},
                                                           {"full", &Rehearsal::plan_limit},
                                                           {"hide", &Rehearsal::plan_hidden_folder},
                                                           {"reload", &Rehearsal::plan_reload},
                                                           {"below_takes", &Rehearsal::plan_dependency}};
  const auto found = kPlanners.find(fault.what);
  if (found != kPlanners.end()) (this->*found->second)(fault);
}

void Rehearsal::plan_life(const FaultSpec& fault) {
  over_group(fault, fault.at, [this, what = fault.what](const std::string& name) {
    if (what == "kill") kill(name);
    if (what == "start") start(name);
    if (what == "leave") begin_leaving(name);
  });
}

// One after the other over the fault's time.
void Rehearsal::plan_replacement(const FaultSpec& fault) {
  const std::vector<std::string> names = group(fault.who[0]);
  for (std::size_t i = 0; i < names.size(); ++i) {
    const double at = fault.at + fault.lasts * static_cast<double>(i) / static_cast<double>(names.size());
    add(at, [this, name = names[i]] { begin_leaving(name); });
    add(at + kReplacedAfter, [this, name = names[i]] { start(name); });
  }
}

void Rehearsal::plan_pause(const FaultSpec& fault) {
  over_group(fault, fault.at, [this, lasts = fault.lasts](const std::string& name) { pause(name, lasts); });
  over_group(fault, fault.at + fault.lasts, [this](const std::string& name) {
    Member& one = member(name);
    if (one.paused) one.server->process->signal(SIGCONT);
    one.paused = false;
  });
}

void Rehearsal::plan_clock_step(const FaultSpec& fault) {
  const double seconds = fault.what == "step" ? fault.amount : -fault.amount;
  over_group(fault, fault.at, [this, seconds](const std::string& name) { step_clock(name, seconds); });
}

void Rehearsal::plan_crowd(const FaultSpec& fault) {
  add(fault.at, [this, fault] {
    for (int i = 0; i < static_cast<int>(fault.amount); ++i) burners_.push_back(burner());
  });
  add(fault.at + fault.lasts, [this] { end_burners(); });
}

void Rehearsal::end_burners() {
  for (const pid_t pid : burners_) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  burners_.clear();
}

void Rehearsal::plan_limit(const FaultSpec& fault) {
  const auto resource = fault.what == "full" ? RLIMIT_FSIZE : RLIMIT_NOFILE;
  const auto most = fault.what == "full" ? rlim_t{kFull} : static_cast<rlim_t>(fault.amount);
  const auto set = [this, resource](const std::string& name, rlim_t to) {
    Member& one = member(name);
    if (one.up) limit(one.server->process->pid(), resource, to);
  };
  over_group(fault, fault.at, [set, most](const std::string& name) { set(name, most); });
  over_group(fault, fault.at + fault.lasts, [set](const std::string& name) { set(name, RLIM_INFINITY); });
}

void Rehearsal::plan_hidden_folder(const FaultSpec& fault) {
  const auto move = [this](const std::string& name, bool away) {
    std::error_code ignored;
    const std::string folder = std::filesystem::path(member(name).server->folder()).parent_path();
    const std::string hidden = folder + "-away";
    std::filesystem::rename(away ? folder : hidden, away ? hidden : folder, ignored);
  };
  over_group(fault, fault.at, [move](const std::string& name) { move(name, true); });
  over_group(fault, fault.at + fault.lasts, [move](const std::string& name) { move(name, false); });
}

// With a word: by a file that can't be used, which is put right again.
void Rehearsal::plan_reload(const FaultSpec& fault) {
  over_group(fault, fault.at, [this, is_bad = !fault.word.empty()](const std::string& name) {
    Member& one = member(name);
    if (!one.up) return;
    std::ifstream in(one.server->operators_path());
    const std::string good{std::istreambuf_iterator<char>(in), {}};
    if (is_bad) std::ofstream(one.server->operators_path()) << good << "results\n  entries -1\n";
    one.server->process->signal(SIGHUP);
    if (!is_bad) return;
    loop.run_for(kReadWithin);
    std::ofstream(one.server->operators_path()) << good;
  });
}

void Rehearsal::plan_dependency(const FaultSpec& fault) {
  const auto set = [this](double takes) {
    return [this, takes] {
      for (const auto& one : members_) one->server->dependency.options.reply_seconds = takes;
    };
  };
  add(fault.at, set(fault.amount));
  add(fault.at + fault.lasts, set(script.below_takes));
}

void Rehearsal::plan() {
  for (const FaultSpec& fault : script.faults) {
    for (const std::string& name : fault.who) group(name);  // a wrong name is told before anything starts
    fault.who.size() == 2 ? plan_pairs(fault) : plan_one(fault);
  }
}

}  // namespace damsonspoke::standins

// Schedules the faults of a rehearsal and applies them to the processes and to the network between them.
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

constexpr double kRecoverySeconds = 0.3;            // in which a process handles what waited during a pause
constexpr double kMaxToleratedPauseSeconds = 1.95;  // longer pauses may have a member declared dead
constexpr double kRestartDelaySeconds = 0.4;        // from the shutdown notice until the successor starts
constexpr double kReloadSeconds = 0.1;              // in which a process reads its configuration again
constexpr int kFullDiskFileBytes = 4096;            // the largest file on a full disk

// Starts a process that keeps one core busy.
pid_t start_cpu_load() {
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  ::alarm(60);  // ends it even if the parent process is killed
  for (;;) ::getppid();
}

void set_soft_limit(pid_t pid, __rlimit_resource resource, rlim_t value) {
  rlimit current{};
  if (::prlimit(pid, resource, nullptr, &current) != 0) return;
  current.rlim_cur = std::min(value, current.rlim_max);
  ::prlimit(pid, resource, &current, nullptr);
}

}  // namespace

// ---- What happens to a process.

void Rehearsal::record_unreachable(const std::string& name, double from, double to) {
  const int incarnation = member(name).server->incarnation_number();
  if (incarnation >= 0)
    journal.incarnations.at(static_cast<std::size_t>(incarnation)).unreachable_periods.emplace_back(from, to);
}

void Rehearsal::start(const std::string& name) {
  Member& one = member(name);
  if (one.is_draining) {
    one.server->wait_for_end();
    one.ended_at = now();
    one.is_up = one.is_draining = false;
  }
  if (one.is_up) return;
  const double asked_at = now();
  one.is_up = one.server->start();
  last_start_seconds_ = now() - asked_at;
  if (!one.is_up) journal.incarnations.back().status = -1, journal.incarnations.back().ended_at = now();
}

void Rehearsal::kill(const std::string& name) {
  Member& one = member(name);
  if (!one.is_up) return;
  one.ended_at = now();
  one.server->kill();
  one.is_up = one.is_draining = one.is_paused = false;
}

void Rehearsal::begin_shutdown(const std::string& name) {
  Member& one = member(name);
  if (!one.is_up || one.is_draining) return;
  one.is_draining = true;
  one.server->send_shutdown_notice();
}

// While the Unix clock is off, the process misreads the Unix times in its callers' requests, so the rules
// that depend on them are not checked for its requests.
void Rehearsal::step_clock(const std::string& name, double seconds) {
  Member& one = member(name);
  double shift = 0;
  std::fstream file(one.clock_file, std::ios::in | std::ios::out | std::ios::binary);
  file.read(reinterpret_cast<char*>(&shift), sizeof shift);
  shift += seconds;
  file.seekp(0);
  file.write(reinterpret_cast<const char*>(&shift), sizeof shift);
  if (shift != 0) record_unreachable(name, now(), now() + 1e6);
}

void Rehearsal::pause(const std::string& name, double seconds) {
  Member& one = member(name);
  if (!one.is_up || one.is_paused) return;
  one.is_paused = true;
  one.server->process->signal(SIGSTOP);
  record_unreachable(name, now(), now() + seconds + kRecoverySeconds);
  if (seconds > kMaxToleratedPauseSeconds)
    one.long_pauses.emplace_back(now() + kMaxToleratedPauseSeconds, now() + seconds + kRecoverySeconds + 1);
}

// ---- The timeline.

std::vector<std::pair<std::string, std::string>> Rehearsal::target_pairs(const FaultSpec& fault) const {
  std::vector<std::pair<std::string, std::string>> out;
  for (const std::string& a : expand_group(fault.targets[0])) {
    for (const std::string& b : expand_group(fault.targets[1])) {
      if (a != b) out.emplace_back(a, b);
    }
  }
  return out;
}

void Rehearsal::schedule_link_change(const FaultSpec& fault,
                                     const std::function<void(LinkConditions&)>& change,
                                     const std::function<void(LinkConditions&)>& revert) {
  const auto apply = [this](const std::pair<std::string, std::string>& pair,
                            const std::function<void(LinkConditions&)>& edit) {
    LinkConditions conditions = between_.conditions(pair.first, pair.second);
    edit(conditions);
    between_.set(pair.first, pair.second, conditions);
  };
  schedule(fault.at, [this, fault, change, apply] {
    for (const auto& pair : target_pairs(fault)) {
      apply(pair, change);
      // A fault on the link to the callers delays or loses responses: the server is not to blame.
      const std::string& server = pair.first == "callers" ? pair.second : pair.first;
      if (pair.first == "callers" || pair.second == "callers")
        record_unreachable(server, now(), now() + fault.duration_seconds + kRecoverySeconds);
    }
  });
  schedule(fault.at + fault.duration_seconds, [this, fault, revert, apply] {
    for (const auto& pair : target_pairs(fault)) apply(pair, revert);
  });
}

void Rehearsal::schedule_network_fault(const FaultSpec& fault) {
  const double amount = fault.amount;
  const auto none = [](LinkConditions&) {};
  if (fault.kind == "cut" || fault.kind == "part") {
    schedule_link_change(
        fault, [](LinkConditions& w) { w.cut = true; }, [](LinkConditions& w) { w.cut = false; });
    if (fault.kind == "cut") return;
    FaultSpec other = fault;
    std::swap(other.targets[0], other.targets[1]);
    schedule_link_change(
        other, [](LinkConditions& w) { w.cut = true; }, [](LinkConditions& w) { w.cut = false; });
  } else if (fault.kind == "refuse") {
    schedule_link_change(
        fault, [](LinkConditions& w) { w.refused = true; }, [](LinkConditions& w) { w.refused = false; });
  } else if (fault.kind == "delay") {
    schedule_link_change(
        fault, [amount](LinkConditions& w) { w.delay = amount, w.jitter = amount / 2; },
        [](LinkConditions& w) { w.delay = w.jitter = 0; });
  } else if (fault.kind == "lose") {
    schedule_link_change(
        fault, [amount](LinkConditions& w) { w.loss = amount; }, [](LinkConditions& w) { w.loss = 0; });
  } else if (fault.kind == "muddle") {
    schedule_link_change(
        fault, [amount](LinkConditions& w) { w.duplicated = w.reordered = amount; },
        [](LinkConditions& w) { w.duplicated = w.reordered = 0; });
  } else if (fault.kind == "narrow") {
    schedule_link_change(
        fault, [amount](LinkConditions& w) { w.bytes_per_s = amount; },
        [](LinkConditions& w) { w.bytes_per_s = 0; });
  } else if (fault.kind == "reset") {
    schedule_link_change(fault, none, none);
    schedule(fault.at, [this, fault] {
      for (const auto& [a, b] : target_pairs(fault)) between_.reset(a, b);
    });
  }
}

void Rehearsal::schedule_for_group(const FaultSpec& fault, double at, const ProcessAction& action) {
  schedule(at, [this, fault, action] {
    for (const std::string& name : expand_group(fault.targets[0])) action(name);
  });
}

void Rehearsal::schedule_process_fault(const FaultSpec& fault) {
  using Scheduler = void (Rehearsal::*)(const FaultSpec&);
  static const std::map<std::string, Scheduler> kSchedulers = {
      {"kill", &Rehearsal::schedule_start_or_end},
      {"start", &Rehearsal::schedule_start_or_end},
      {"leave", &Rehearsal::schedule_start_or_end},
      {"replace", &Rehearsal::schedule_replacement},
      {"pause", &Rehearsal::schedule_pause},
      {"step", &Rehearsal::schedule_clock_step},
      {"step_back", &Rehearsal::schedule_clock_step},
      {"crowd", &Rehearsal::schedule_cpu_load},
      {"descriptors", &Rehearsal::schedule_resource_limit},
      {"full", &Rehearsal::schedule_resource_limit},
      {"hide", &Rehearsal::schedule_hidden_folder},
      {"reload", &Rehearsal::schedule_reload},
      {"below_takes", &Rehearsal::schedule_slow_dependency}};
  const auto found = kSchedulers.find(fault.kind);
  if (found != kSchedulers.end()) (this->*found->second)(fault);
}

void Rehearsal::schedule_start_or_end(const FaultSpec& fault) {
  schedule_for_group(fault, fault.at, [this, kind = fault.kind](const std::string& name) {
    if (kind == "kill") kill(name);
    if (kind == "start") start(name);
    if (kind == "leave") begin_shutdown(name);
  });
}

// Replaces the processes of the group one after another, spread evenly over the fault's duration.
void Rehearsal::schedule_replacement(const FaultSpec& fault) {
  const std::vector<std::string> names = expand_group(fault.targets[0]);
  for (std::size_t i = 0; i < names.size(); ++i) {
    const double at =
        fault.at + fault.duration_seconds * static_cast<double>(i) / static_cast<double>(names.size());
    schedule(at, [this, name = names[i]] { begin_shutdown(name); });
    schedule(at + kRestartDelaySeconds, [this, name = names[i]] { start(name); });
  }
}

void Rehearsal::schedule_pause(const FaultSpec& fault) {
  schedule_for_group(fault, fault.at, [this, seconds = fault.duration_seconds](const std::string& name) {
    pause(name, seconds);
  });
  schedule_for_group(fault, fault.at + fault.duration_seconds, [this](const std::string& name) {
    Member& one = member(name);
    if (one.is_paused) one.server->process->signal(SIGCONT);
    one.is_paused = false;
  });
}

void Rehearsal::schedule_clock_step(const FaultSpec& fault) {
  const double seconds = fault.kind == "step" ? fault.amount : -fault.amount;
  schedule_for_group(fault, fault.at,
                     [this, seconds](const std::string& name) { step_clock(name, seconds); });
}

void Rehearsal::schedule_cpu_load(const FaultSpec& fault) {
  schedule(fault.at, [this, fault] {
    for (int i = 0; i < static_cast<int>(fault.amount); ++i) cpu_loads_.push_back(start_cpu_load());
  });
  schedule(fault.at + fault.duration_seconds, [this] { end_cpu_loads(); });
}

void Rehearsal::end_cpu_loads() {
  for (const pid_t pid : cpu_loads_) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  cpu_loads_.clear();
}

void Rehearsal::schedule_resource_limit(const FaultSpec& fault) {
  const auto resource = fault.kind == "full" ? RLIMIT_FSIZE : RLIMIT_NOFILE;
  const auto limit_value =
      fault.kind == "full" ? rlim_t{kFullDiskFileBytes} : static_cast<rlim_t>(fault.amount);
  const auto set = [this, resource](const std::string& name, rlim_t value) {
    Member& one = member(name);
    if (one.is_up) set_soft_limit(one.server->process->pid(), resource, value);
  };
  schedule_for_group(fault, fault.at,
                     [set, limit_value](const std::string& name) { set(name, limit_value); });
  schedule_for_group(fault, fault.at + fault.duration_seconds,
                     [set](const std::string& name) { set(name, RLIM_INFINITY); });
}

void Rehearsal::schedule_hidden_folder(const FaultSpec& fault) {
  const auto move = [this](const std::string& name, bool hide) {
    std::error_code ignored;
    const std::string folder = std::filesystem::path(member(name).server->folder()).parent_path();
    const std::string hidden = folder + "-away";
    std::filesystem::rename(hide ? folder : hidden, hide ? hidden : folder, ignored);
  };
  schedule_for_group(fault, fault.at, [move](const std::string& name) { move(name, true); });
  schedule_for_group(fault, fault.at + fault.duration_seconds,
                     [move](const std::string& name) { move(name, false); });
}

// With an option, the process reads an invalid file, which is restored afterwards.
void Rehearsal::schedule_reload(const FaultSpec& fault) {
  schedule_for_group(fault, fault.at, [this, is_bad = !fault.option.empty()](const std::string& name) {
    Member& one = member(name);
    if (!one.is_up) return;
    std::ifstream in(one.server->operators_path());
    const std::string good{std::istreambuf_iterator<char>(in), {}};
    if (is_bad) std::ofstream(one.server->operators_path()) << good << "results\n  entries -1\n";
    one.server->process->signal(SIGHUP);
    if (!is_bad) return;
    loop.run_for(kReloadSeconds);
    std::ofstream(one.server->operators_path()) << good;
  });
}

void Rehearsal::schedule_slow_dependency(const FaultSpec& fault) {
  const auto set = [this](double seconds) {
    return [this, seconds] {
      for (const auto& one : members_) one->server->dependency.options.reply_seconds = seconds;
    };
  };
  schedule(fault.at, set(fault.amount));
  schedule(fault.at + fault.duration_seconds, set(script.dependency_seconds));
}

void Rehearsal::schedule_faults() {
  for (const FaultSpec& fault : script.faults) {
    for (const std::string& name : fault.targets)
      expand_group(name);  // rejects an unknown name before any process starts
    fault.targets.size() == 2 ? schedule_network_fault(fault) : schedule_process_fault(fault);
  }
}

}  // namespace damsonspoke::standins

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

constexpr double kLoadSeconds = kEndingsLoadSeconds;
constexpr double kStopSeconds = kEndingsStopSeconds;
constexpr double kMaxRestartDelaySeconds = 0.3;  // from the end of a process to its restart
constexpr double kInvalidFileSeconds = 0.15;     // during which an invalid file stays in place to be read
constexpr double kResumeSeconds = 0.3;           // after a pause, to process the backlog
constexpr double kExitTimeoutSeconds =
    3;  // after the stop, once the shutdown is complete: sanitizers check for leaks at the exit
constexpr double kStartupTimeoutSeconds = 20;
constexpr int kRequestsAtStop = 12;
constexpr int kLateReaders = 3;
constexpr int kEarlyRequestsPerLateReader = 8;    // sent at the shutdown notice
constexpr int kLateRequestsPerLateReader = 24;    // sent while connections are closed
constexpr double kLateRequestsFromSeconds = 0.2;  // before the stop
constexpr double kConnectionsCloseFromSeconds =
    0.12;  // before the stop; connections are closed in order from here on
constexpr double kLateRequestsUntilSeconds =
    0.08;  // before the stop by the clock of the process, which waits for its peers until 0.06 s
constexpr double kLastRequestSeconds = 0.06;  // before the stop as computed here
constexpr double kPromptLogSeconds = 0.03;  // from the notice to its log line; longer: the log was read late
constexpr double kLateReadFromSeconds = 0.03;  // before the stop
constexpr double kLateReadSpreadSeconds = 0.1;
constexpr std::size_t kLateResultBytes = 3500;
constexpr double kStopPauseFromSeconds =
    0.128;  // before the stop: it no longer listens, and its connections are still open
constexpr double kStopPauseUntilSeconds = 0.045;
constexpr double kMaxStopPauseDelaySeconds = 0.005;  // the pause is skipped if it would start later
constexpr int kRequestsInStopPause = 6;
constexpr double kDescriptorCountSeconds = 0.25;  // after the start and before the first event
constexpr double kConnectTimeoutSeconds =
    0.02;  // a listener that is about to close leaves connects waiting for 1 s
constexpr double kClientTimeoutSeconds = 1;  // of most requests

const char* const kAjpRoutes =
    "    map POST /ops/read  read  wait=header:x-wait-ms caller=header:x-hotel held=10\n"
    "    map POST /ops/close close wait=header:x-wait-ms caller=header:x-hotel held=10\n"
    "    map POST /ops/brief brief wait=header:x-wait-ms caller=header:x-hotel held=10\n";

Callers::Options load_for(const EndingsFleet& fleet, std::uint64_t seed) {
  Callers::Options load;
  load.flows = {
      {"read", 70, kClientTimeoutSeconds}, {"close", 30, kClientTimeoutSeconds}, {"brief", 10, 0.002}};
  for (Flow& flow : load.flows) {
    flow.retries = 2;
    flow.pause = 0.05;
  }
  load.flows[1].has_key = fleet.stores_results;
  load.connections = 4;
  load.seed = seed;
  load.ignores_drain_notice = true;
  if (fleet.is_wide) load.connect_timeout = kConnectTimeoutSeconds;
  return load;
}

constexpr const char* kForwarders = "forwarders";  // all forwarders, as one host of the faulty network

}  // namespace

EndingsPlay::EndingsPlay(std::string binary, std::uint64_t seed, std::string folder)
    : binary_(std::move(binary)),
      folder_(std::move(folder)),
      random_(seed),
      drawn_(draw_endings_fleet(random_, seed)) {
  std::filesystem::create_directories(folder_);
  if (drawn_.is_wide) network_ = std::make_unique<FaultyNetwork>(loop_, seed);
  callers_ = std::make_unique<Callers>(loop_, journal_, load_for(drawn_, seed));
  build();
}

EndingsPlay::~EndingsPlay() = default;

void EndingsPlay::record(const std::string& text) {
  std::ofstream(folder_ + "/timeline.txt", std::ios::app) << fmt::format("{:.4f} {}\n", now() - began_, text);
}

// ---- The fleet.

SiteSpec EndingsPlay::site_for(const std::string& command, const std::string& name) const {
  SiteSpec site;
  const char* close = drawn_.stores_results ? "dedup" : "retryable";
  site.types = {
      {"read", "retryable", 0.5, kClientTimeoutSeconds, 0, 1},
      {"close", close, 0.5, kClientTimeoutSeconds, drawn_.stores_results ? kEndingsKeyWindowSeconds : 0, 3},
      {"brief", "retryable", 0.1, kClientTimeoutSeconds, 0, 1}};
  site.command = command;
  site.name = name;
  site.stop_after = kStopSeconds;
  const bool has_statistics = drawn_.stores_statistics && command != "forward";
  site.operators =
      has_statistics ? "knowledge\n    enabled on\n    folder FOLDER\n" : "control\n    folder FOLDER\n";
  // Forwarders read the name of the key field from this section.
  if (drawn_.stores_results) site.operators += "results\n    enabled on\n    store STORE\n";
  return site;
}

void EndingsPlay::add_member(const std::string& command, const std::string& name, int number,
                             const std::string& more) {
  auto member = std::make_unique<Member>();
  member->name = name;
  member->number = number;
  SiteSpec site = site_for(command, name);
  site.operators += more;
  if (command != "plan") site.port = non_ephemeral_port();
  Runtime::Options runtime;
  runtime.work = drawn_.run_seconds;
  if (drawn_.is_wide) runtime.result_bytes = kLateResultBytes;
  if (drawn_.calls_in_a_row > 0) {
    runtime.calls = 0.5;
    runtime.calls_in_a_row = drawn_.calls_in_a_row;
  }
  member->server = std::make_unique<Server>(loop_, journal_, *callers_, binary_, site, runtime, number);
  std::ifstream in(member->server->operators_path());
  member->operators = {std::istreambuf_iterator<char>(in), {}};
  member->server->on_log_line = [this, one = member.get()](const std::string& line) {
    on_log_line(*one, line);
  };
  members_.push_back(std::move(member));
}

// The addresses at which all forwarders reach the planners. The owner of a key is computed from them, so they
// have to be the same for each forwarder.
std::string EndingsPlay::addresses_of_planners() {
  std::string out;
  for (const auto& member : members_) {
    if (member->name[0] != 'p') continue;
    const std::string address = member->server->address();
    const auto port = static_cast<std::uint16_t>(std::atoi(address.c_str() + address.rfind(':') + 1));
    out += network_ ? fmt::format(" 127.0.0.1:{}", network_->path(kForwarders, member->name, port))
                    : ' ' + address;
  }
  return out;
}

void EndingsPlay::build() {
  for (int i = 1; i <= drawn_.planners; ++i) add_member("plan", fmt::format("p{}", i), 0, "");
  for (int i = 0; i < drawn_.forwarders; ++i) {
    const std::string name = fmt::format("f{}", i + 1);
    add_member("forward", name, i, "forward\n    planners" + addresses_of_planners() + '\n');
  }
  std::string more;
  if (drawn_.limits_connections) more += "gate\n    enabled on\n    known-after 10\n";
  if (drawn_.by_ajp) more += std::string("ajp\n    listen 127.0.0.1:0\n") + kAjpRoutes;
  for (int i = 0; i < drawn_.backends; ++i) add_member("serve", fmt::format("r{}", i + 1), i, more);
  if (!drawn_.by_ajp) return;
  AjpGateway::Options options;
  options.flows = {{"read", 20, kClientTimeoutSeconds}};
  if (!drawn_.stores_results) options.flows.push_back({"close", 10, kClientTimeoutSeconds});
  options.connections = 8;
  gateway_ = std::make_unique<AjpGateway>(loop_, journal_, options);
}

void EndingsPlay::on_log_line(Member& member, const std::string& line) {
  std::ofstream(folder_ + "/" + member.name + ".log", std::ios::app) << line << '\n';
  for (const char* bad : {"ERROR: AddressSanitizer", "runtime error:", "ERROR: LeakSanitizer",
                          "state=disabled", "state=unavailable"}) {
    if (line.find(bad) != std::string::npos) findings_.push_back(member.name + ": " + line);
  }
  if (line.find("shutdown complete after") != std::string::npos) {
    member.has_logged_exit = true;
    if (drawn_.is_wide) send_early_or_late_signal(member);
  }
  if (drawn_.is_wide && !std::exchange(member.has_logged_line, true)) send_early_or_late_signal(member);
  const std::size_t ajp = line.find("accepts AJP callers on port ");
  if (ajp == std::string::npos || !gateway_) return;
  const int port = std::atoi(line.c_str() + line.rfind(' ') + 1);
  gateway_->set_server(static_cast<std::uint16_t>(port), member.server->incarnation_number());
}

// ---- Events of a process.

bool EndingsPlay::start(Member& member) {
  if (member.is_up) return true;
  member.server->write_operators(member.operators);
  member.has_logged_line = false;
  member.is_up = member.server->start();
  member.stop_at = -1;
  member.was_killed_at_stop = member.has_logged_exit = false;
  record(fmt::format("{} is up as incarnation {}: {}", member.name, member.server->incarnation_number(),
                     member.is_up));
  if (!member.is_up) findings_.push_back(member.name + " does not start");
  return member.is_up;
}

void EndingsPlay::kill(Member& member) {
  if (!member.is_up || member.stop_at >= 0) return;
  record(member.name + " is killed without a shutdown notice");
  member.server->kill();
  member.is_up = false;
  at(now() - began_ + chance() * kMaxRestartDelaySeconds, [this, &member] { start(member); });
}

void EndingsPlay::give_notice(Member& member) {
  if (!member.is_up) return;
  if (member.stop_at >= 0) return signal(member, SIGTERM, "SIGTERM again");
  record(member.name + " gets its shutdown notice");
  member.server->send_shutdown_notice();
  // A paused process handles the notice after the pause, so its stop time counts from there.
  member.stop_at = std::max(now(), member.paused_until) + kStopSeconds;
  send_requests_at_stop(member);
  if (!drawn_.is_wide || member.name[0] == 'p') return;
  // Either a pause or late readers, not both: after the pause there is no time left for peers that still
  // write. During a flood more connections close than the process waits for, which is a documented limit.
  if (one_in(3))
    pause_at_stop(member);
  else if (!drawn_.has_flood)
    open_late_readers(member);
}

// Opens connections whose answers are read late and on which more requests are sent while the server closes
// them.
void EndingsPlay::open_late_readers(const Member& member) {
  const Flow flow{"read", 0, 2 * kClientTimeoutSeconds};
  for (int i = 0; i < kLateReaders; ++i) {
    const double read_at = member.stop_at - kLateReadFromSeconds + chance() * kLateReadSpreadSeconds;
    const int reader = callers_->open_late_reader(member.number, read_at);
    if (reader < 0) return;
    const std::string name = fmt::format("{}-{}", member.server->incarnation_number(), i);
    for (int j = 0; j < kEarlyRequestsPerLateReader; ++j) {
      const std::string key = fmt::format("owed-{}-{}", name, j);
      callers_->send_request_on(reader, flow, key, key + ' ');
    }
    for (int j = 0; j < kLateRequestsPerLateReader; ++j) {
      // Half of them are sent while connections are closed.
      const double from = j % 2 == 0 ? kLateRequestsFromSeconds : kConnectionsCloseFromSeconds;
      const double before = kLastRequestSeconds + chance() * (from - kLastRequestSeconds);
      const std::string key = fmt::format("late-{}-{}", name, j);
      schedule_late_request(member, reader, flow, key, member.stop_at - before);
    }
  }
}

// Uses timers of the loop, which run while another process is being started. Sends nothing after the time
// limit, which the process counts from the handling of the notice.
void EndingsPlay::schedule_late_request(const Member& member, int reader, const Flow& flow,
                                        const std::string& key, double when) {
  loop_.at(when, [this, reader, flow, key, incarnation = member.server->incarnation_number()] {
    const Incarnation& of = journal_.incarnations.at(static_cast<std::size_t>(incarnation));
    const bool is_logged_promptly =
        of.shutdown_logged_at >= 0 && of.shutdown_logged_at - of.shutdown_notice_at < kPromptLogSeconds;
    const double since = is_logged_promptly ? of.shutdown_logged_at : of.shutdown_notice_at;
    if (now() < since + kStopSeconds - kLateRequestsUntilSeconds)
      callers_->send_request_on(reader, flow, key, key + ' ');
  });
}

// Pauses the process between the end of its listening and the closing of its connections, while requests
// arrive on them. Its stop time is delayed by the duration of the pause.
void EndingsPlay::pause_at_stop(Member& member) {
  const double from = member.stop_at - kStopPauseFromSeconds;
  const double seconds = kStopPauseFromSeconds - kStopPauseUntilSeconds;
  member.stop_at += seconds;
  loop_.at(from, [this, &member, from, seconds] {
    const bool is_late = now() > from + kMaxStopPauseDelaySeconds;
    if (is_late || !member.is_up || member.server->process->has_ended()) return;
    signal(member, SIGSTOP, "SIGSTOP before its connections are closed");
    auto& incarnation =
        journal_.incarnations.at(static_cast<std::size_t>(member.server->incarnation_number()));
    incarnation.unreachable_periods.emplace_back(now(), now() + seconds + kResumeSeconds);
    loop_.after(seconds, [this, &member] { signal(member, SIGCONT, "SIGCONT"); });
  });
  for (int i = 0; i < kRequestsInStopPause; ++i) {
    loop_.at(from + chance() * seconds / 2, [this, i] {
      const std::string key = fmt::format("paused-{}-{}", now(), i);
      callers_->send_request({"read", 0, kClientTimeoutSeconds}, key, key + ' ');
    });
  }
}

// Sends a signal right after the first log line, or when only the exit remains: its handler may not be
// installed yet, or no longer.
void EndingsPlay::send_early_or_late_signal(Member& member) {
  if (!member.server->process) return;
  const int number = one_in(2) ? SIGHUP : SIGUSR1;
  record(fmt::format("{} gets signal {} at its {}", member.name, number,
                     member.has_logged_exit ? "exit" : "first line"));
  member.server->process->signal(number);
}

void EndingsPlay::move_runtime(Member& member) {
  member.server->move_runtime();
  signal(member, SIGHUP, "SIGHUP with another runtime address");
  // Sent again, because an invalid file may have been in place at that moment.
  at(now() - began_ + 2 * kInvalidFileSeconds, [this, &member] { signal(member, SIGHUP, "SIGHUP"); });
}

void EndingsPlay::take_registry_down(Member& member, double seconds) {
  record(fmt::format("the registry of {} is down for {:.3f} s", member.name, seconds));
  member.server->registry.stop_listening();
  at(now() - began_ + seconds, [&member] { member.server->registry.listen(); });
}

void EndingsPlay::cut_levels(const Member& planner, bool cut) {
  record(fmt::format("the links of {} are {}", planner.name, cut ? "cut" : "restored"));
  LinkConditions weather;
  weather.cut = cut;
  network_->set(kForwarders, planner.name, weather);
  network_->set(planner.name, kForwarders, weather);
}

void EndingsPlay::reset_levels(const Member& planner) {
  record(fmt::format("the links of {} are reset", planner.name));
  network_->reset(kForwarders, planner.name);
}

// Sends requests around the times at which the listener closes, connections are closed and the process exits.
void EndingsPlay::send_requests_at_stop(const Member& member) {
  if (member.server->port() == 0 || member.name[0] == 'p') return;
  for (int i = 0; i < kRequestsAtStop; ++i) {
    const double when = member.stop_at - began_ - chance() * 0.2;
    at(when, [this, i] {
      const Flow flow{"read", 0, i % 3 == 0 ? 0.002 : kClientTimeoutSeconds};
      const std::string key = fmt::format("end-{}-{}", now(), i);
      callers_->send_request(flow, key, key + ' ', i % 4 == 3);
    });
  }
}

void EndingsPlay::signal(Member& member, int number, const char* name) {
  if (!member.is_up) return;
  record(fmt::format("{} gets {}", member.name, name));
  member.server->process->signal(number);
}

// An invalid file is in place only until it has been read, because the next start needs a valid one.
void EndingsPlay::reload(Member& member, bool is_valid) {
  if (!member.is_up) return;
  if (!is_valid) member.server->write_operators(member.operators + "results\n    entries -1\n");
  signal(member, SIGHUP, is_valid ? "SIGHUP" : "SIGHUP with an invalid file");
  if (is_valid) return;
  at(now() - began_ + kInvalidFileSeconds, [&member] { member.server->write_operators(member.operators); });
}

void EndingsPlay::pause(Member& member, double seconds) {
  if (!member.is_up || member.stop_at >= 0) return;
  signal(member, SIGSTOP, "SIGSTOP");
  auto& incarnation = journal_.incarnations.at(static_cast<std::size_t>(member.server->incarnation_number()));
  incarnation.unreachable_periods.emplace_back(now(), now() + seconds + kResumeSeconds);
  member.paused_until = now() + seconds;
  at(now() - began_ + seconds, [this, &member] { signal(member, SIGCONT, "SIGCONT"); });
}

// Kills members that have not ended by their stop time, and schedules the restart of those that have ended.
void EndingsPlay::check_ends() {
  for (const auto& one : members_) {
    Member& member = *one;
    if (!member.is_up || member.stop_at < 0) continue;
    if (member.server->process->has_ended()) {
      handle_end(member);
    } else if (now() >= member.stop_at + (member.has_logged_exit ? kExitTimeoutSeconds : 0) &&
               !member.was_killed_at_stop) {
      record(member.name + " is killed at its stop time");
      member.was_killed_at_stop = true;
      member.server->process->signal(SIGKILL);
    }
  }
}

void EndingsPlay::handle_end(Member& member) {
  member.server->wait_for_end();
  record(member.name + " has ended");
  member.is_up = false;
  member.stop_at = -1;
  if (now() - began_ < kLoadSeconds)
    at(now() - began_ + chance() * kMaxRestartDelaySeconds, [this, &member] { start(member); });
}

// ---- The timeline.

void EndingsPlay::add_event(const TimelineEvent& event) {
  using enum TimelineEventKind;
  Member& member = *members_[event.member];
  switch (event.kind) {
    case kNotice: return at(event.at, [this, &member] { give_notice(member); });
    case kKill: return at(event.at, [this, &member] { kill(member); });
    case kReload: return at(event.at, [this, &member] { reload(member, true); });
    case kBadReload: return at(event.at, [this, &member] { reload(member, false); });
    case kCounters: return at(event.at, [this, &member] { signal(member, SIGUSR1, "SIGUSR1"); });
    case kPause: return at(event.at, [this, &member, seconds = event.seconds] { pause(member, seconds); });
    case kCutRuntime:
      return at(event.at, [this, &member] {
        record("the runtime's link of " + member.name + " is cut");
        member.server->runtime.break_link();
      });
    default: return add_wide_event(member, event);
  }
}

void EndingsPlay::add_wide_event(Member& member, const TimelineEvent& event) {
  using enum TimelineEventKind;
  const double seconds = event.seconds;
  switch (event.kind) {
    case kCutAtRunEnds:
      return at(event.at, [this, &member] {
        record("the runtime's link of " + member.name + " is cut, and its runs end when the next one is up");
        member.server->runtime.end_runs_at_next_link();
        member.server->runtime.break_link();
      });
    case kCutWithUnreadInput:
      return at(event.at, [this, &member, seconds] {
        record(fmt::format("the runtime's link of {} is not read for {:.0f} ms and then cut", member.name,
                           seconds * 1000));
        member.server->runtime.break_link_after(seconds);
      });
    case kMoveRuntime: return at(event.at, [this, &member] { move_runtime(member); });
    case kRestartRuntime:
      return at(event.at, [this, &member] {
        record("the runtime of " + member.name + " restarts");
        member.server->runtime.restart();
      });
    case kRegistryDown:
      return at(event.at, [this, &member, seconds] { take_registry_down(member, seconds); });
    case kCutLevels:
      at(event.at, [this, &member] { cut_levels(member, true); });
      return at(event.at + seconds, [this, &member] { cut_levels(member, false); });
    case kResetLevels: return at(event.at, [this, &member] { reset_levels(member); });
    default: return;
  }
}

void EndingsPlay::add_flood() {
  const auto flood = draw_endings_flood(random_, drawn_);
  if (!flood) return;
  at(flood->at, [this, shape = flood->shape] {
    if (!members_.front()->is_up) return;
    record("a flood of connections starts");
    const std::uint16_t port = drawn_.is_flood_by_ajp ? gateway_->port() : members_.front()->server->port();
    floods_.push_back(std::make_unique<Flood>(port, Flood::Options{shape, 200, 10, 800}));
  });
  at(2.5, [this] { floods_.clear(); });
}

void EndingsPlay::draw_timeline() {
  for (const TimelineEvent& event : draw_endings_events(random_, drawn_)) add_event(event);
  add_flood();
  if (drawn_.is_wide) at(kDescriptorCountSeconds, [this] { count_descriptors(); });
}

void EndingsPlay::run_until(double time) {
  const auto next_step_at = [this] { return steps_.empty() ? 1e9 : steps_.begin()->first; };
  while (now() - began_ < time) {
    const double until = std::min(time, next_step_at());
    loop_.run_until(
        [&] {
          check_ends();
          return now() - began_ >= std::min(until, next_step_at());
        },
        kLoadSeconds + kStartupTimeoutSeconds);
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
          return member->name[0] == 'p' || member->server->registry.is_listed();
        });
      },
      kStartupTimeoutSeconds);
  if (!listed) return {"the members are not all listed in time"};
  began_ = now();
  record("the seed draws " + text_of(drawn_));
  draw_timeline();
  run_until(kLoadSeconds);
  settle(broken);
  shut_down_all(broken);
  check_losses(broken);
  check_service_rules(broken);
  broken.insert(broken.end(), findings_.begin(), findings_.end());
  write_journal(journal_, began_, folder_ + "/journal.txt");
  return broken;
}

}  // namespace damsonspoke::standins

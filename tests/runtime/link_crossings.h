// The runtime's link is lost while a command that was sent on it takes effect. Each scenario forces an
// order of events in which sending the command again would be wrong. The program runs between scripted
// peers; the runtime reports the end of a run, or its next call, directly after the gauges whose response
// allows the program to send again. The scenarios are in one file for each kind of command in doubt; this
// header declares what they share.
#pragma once

#include <span>
#include <string>

#include "server_fixture.h"

namespace damsonspoke::testing {

struct Scenario {
  const char* name;  // also of its trace, after "link_crossings_"
  void (*play)();
};

std::span<const Scenario> start_scenarios();
std::span<const Scenario> reply_scenarios();
std::span<const Scenario> resumption_scenarios();
std::span<const Scenario> restart_scenarios();

using standins::scripted::ServerFixture;

// The numbers of the first requests, as the runtime receives them.
inline const std::string kId1 = "0000000000000001";
inline const std::string kId2 = "0000000000000002";
inline const std::string kId3 = "0000000000000003";

inline constexpr double kQuietSeconds = 0.3;  // in which a second command would arrive
inline constexpr double kReleaseSeconds =
    1;  // after the deadline of a request, until its resources are released

// The names of idempotency in the settings.
inline constexpr const char* kRetryable = "retryable";
inline constexpr const char* kDedup = "dedup";
inline constexpr const char* kFragile = "fragile";

// The routes of a fixture, both with this idempotency: "push" may continue without its call, "pull" may not.
// Results are remembered where requests have keys.
ServerFixture::Configuration routes(const std::string& idempotency);

// Parameters of a request whose caller waits this many milliseconds. The first attempts on a dedup route
// all have the key "a".
std::string with_limit(int ms, const std::string& idempotency);

// The same for a request of 900 KB, of which the memory of the server admits only one at a time; with a key
// where one is given.
std::string large_request(int ms, const std::string& key);

// The runtime's notice that a run has ended with this result.
std::string run_end_notice(int notice, const std::string& id, const std::string& result = "result");

// Prints all lines that the runtime receives in this time.
void print_runtime_input(ServerFixture& fixture, double seconds = kQuietSeconds);

// Prints how many commands that begin with this text the runtime receives in this time, ignoring others.
void print_command_count(ServerFixture& fixture, const std::string& command, double seconds = kQuietSeconds);

// Prints whether the caller receives a failure, of any kind, or a rejection, which would mean that nothing
// ran.
void print_caller_failure(ServerFixture& fixture, int caller);

}  // namespace damsonspoke::testing

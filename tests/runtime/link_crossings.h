// The runtime's link is lost while something that was sent on it takes effect: each scenario forces the order
// of events in which sending it again would be wrong. The program between scripted peers; the runtime ends a
// run, or asks for its next call, right behind the gauges whose answer lets the program send again. The
// scenarios stand in a file for each kind of what is in doubt; here is what they share.
#pragma once

#include <span>
#include <string>

#include "scripted_site.h"

namespace damsonspoke::testing {

struct Scenario {
  const char* name;  // of its trace, after "link_crossings_"
  void (*play)();
};

std::span<const Scenario> start_scenarios();
std::span<const Scenario> reply_scenarios();
std::span<const Scenario> resumption_scenarios();
std::span<const Scenario> restart_scenarios();

using standins::scripted::Site;

// The numbers of the first requests, as the runtime hears them.
inline const std::string kId1 = "0000000000000001";
inline const std::string kId2 = "0000000000000002";
inline const std::string kId3 = "0000000000000003";

inline constexpr double kQuietSeconds = 0.3;  // in which a second command would come
inline constexpr double kReleaseSeconds = 1;  // after a request is due, until nothing of it is left

// What the settings call the idempotency of a route.
inline constexpr const char* kRetryable = "retryable";
inline constexpr const char* kDedup = "dedup";
inline constexpr const char* kFragile = "fragile";

// The routes of a site, both of this idempotency: "push" may go on without its call, "pull" may not. Results
// are remembered where requests have keys.
Site::Remembering routes(const std::string& idempotency);

// What goes with a request that its caller awaits so many milliseconds. The first attempts on a dedup route
// all have the key "a".
std::string with_limit(int ms, const std::string& idempotency);

// The same of a request of 900 KB, of which the site's memory holds one at a time while it runs; with a key
// where one is given.
std::string large_request(int ms, const std::string& key);

// The runtime's notice that a run has ended with this result.
std::string run_end_notice(int notice, const std::string& id, const std::string& result = "result");

// Prints all that comes to the runtime in that time.
void print_runtime_input(Site& site, double seconds = kQuietSeconds);

// Prints how often a command that begins like this comes to the runtime in that time; others don't matter.
void print_command_count(Site& site, const std::string& command, double seconds = kQuietSeconds);

// Prints whether the caller hears of a failure, whichever it is, or of a rejection, which would say that
// nothing ran.
void print_caller_failure(Site& site, int caller);

}  // namespace damsonspoke::testing

// Kills the program at random moments while callers make at least three attempts at each request, then checks
// the four service rules over all incarnations: among others, no key runs twice, and no attempt gets a
// changed result or that of another key. usage: results_kills BINARY KILLS [SEED]
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "fleet.h"

using namespace damsonspoke::standins;

namespace {

SiteSpec killed_site() {
  SiteSpec site;
  site.types = {{"push", "dedup", 1, 2, 60, 1}, {"pull", "dedup", 1, 2, 60, 1}};
  site.operators = "results\n    enabled on\n    memory 4M\n    store STORE\n    digest pull\n";
  return site;
}

Callers::Options load_of_callers(std::uint64_t seed) {
  Callers::Options load;
  Flow push{"push", 60, 1};
  push.has_key = true;
  push.copies = 3;
  push.spread = 0.3;
  push.retries = 6;
  Flow pull = push;
  pull.type = "pull";
  pull.has_key = false;
  load.flows = {push, pull};
  load.seed = seed;
  return load;
}

Runtime::Options runtime_options() {
  Runtime::Options options;
  options.cores = 4;
  options.work = 0.012;
  options.failing_share = 0.01;
  return options;
}

std::map<AnswerKind, int> count_answers(const Journal& journal) {
  std::map<AnswerKind, int> counts;
  for (const auto& [request, attempt] : journal.attempts) {
    for (const Answer& answer : attempt.answers) ++counts[answer.kind];
  }
  return counts;
}

// Starts and kills the program `kills` times, then starts it once more. Returns false if it does not start.
bool run_and_kill(Fleet& fleet, int kills, std::uint64_t seed) {
  pcg64 random(seed);
  for (int i = 0; i < kills; ++i) {
    if (!fleet.start()) {
      std::printf("the program does not start after %d kills\n", i);
      return false;
    }
    fleet.loop.run_for(0.06 + static_cast<double>(random() % 1000) / 1000 * 0.2);
    fleet.kill();
  }
  if (!fleet.start()) {
    std::printf("the program does not start after the last kill\n");
    return false;
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: results_kills BINARY KILLS [SEED]\n");
    return 2;
  }
  const int kills = std::atoi(argv[2]);
  const std::uint64_t seed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1;
  Fleet fleet(argv[1], killed_site(), runtime_options(), load_of_callers(seed));
  if (!run_and_kill(fleet, kills, seed)) return 1;
  fleet.loop.run_for(0.3);
  const bool has_settled = fleet.settle(15);
  const bool has_shut_down = fleet.shut_down();
  const Verdict verdict = check_rules(fleet.journal, fleet.limits());
  for (const std::string& line : verdict.broken) std::printf("%s\n", line.c_str());
  std::map<AnswerKind, int> answers = count_answers(fleet.journal);
  std::fprintf(stderr,
               "incarnations %zu, attempts %zu, runs %zu, succeeded %d, unknown %d, failed %d, rejected %d\n",
               fleet.journal.incarnations.size(), fleet.journal.attempts.size(), fleet.journal.runs.size(),
               answers[AnswerKind::kSucceeded], answers[AnswerKind::kUnknownOutcome],
               answers[AnswerKind::kFailed], answers[AnswerKind::kRejected]);
  std::printf("double runs %d, wrong results %d, without an answer %d, late %d, answered twice %d\n",
              verdict.double_runs, verdict.wrong_results, verdict.unanswered, verdict.late,
              verdict.answered_twice);
  std::printf("duplicates were answered, outcomes were unknown: %s\n",
              answers[AnswerKind::kSucceeded] > static_cast<int>(fleet.journal.runs.size()) &&
                      (kills < 10 || answers[AnswerKind::kUnknownOutcome] > 0)
                  ? "yes"
                  : "no");
  std::printf("settled: %s, shut down gracefully: %s\n", has_settled ? "yes" : "no",
              has_shut_down ? "yes" : "no");
  return verdict.kept() ? 0 : 1;
}

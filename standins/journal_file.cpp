#include "journal_file.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <fstream>
#include <stdexcept>

namespace damsonspoke::standins {
namespace {

const char* text_of(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::kSucceeded: return "succeeded";
    case AnswerKind::kRejected: return "rejected";
    case AnswerKind::kFailed: return "failed";
    case AnswerKind::kUnknownOutcome: return "outcome unknown";
    case AnswerKind::kConflict: return "key conflict";
    case AnswerKind::kInvalid: break;
  }
  return "invalid";
}

// Times of events that did not happen are negative in the journal.
std::string time_text(double at, double began) {
  return at < 0 ? std::string("never") : fmt::format("{:.4f}", at - began);
}

}  // namespace

void write_journal(const Journal& journal, double began, const std::string& path) {
  std::ofstream out(path);
  if (!out) throw std::runtime_error(fmt::format("{}: the journal can't be written", path));
  int number = 0;
  for (const Incarnation& incarnation : journal.incarnations)
    fmt::print(out, "life {} began {} notice {} killed {} ended {} status {}\n", number++,
               time_text(incarnation.began, began), time_text(incarnation.shutdown_notice_at, began),
               time_text(incarnation.killed_at, began), time_text(incarnation.ended_at, began),
               incarnation.status);
  for (const auto& [request, t] : journal.attempts) {
    fmt::print(out, "try {:016x} {} life {} sent {} due {}", request, t.key, t.incarnation,
               time_text(t.sent, began), time_text(t.deadline, began));
    if (t.is_lost) fmt::print(out, " lost {}", time_text(t.lost_at, began));
    for (const Answer& answer : t.answers)
      fmt::print(out, " {} {} retry after {:.3f}", text_of(answer.kind), time_text(answer.at, began),
                 answer.retry_after);
    fmt::print(out, "\n");
  }
  for (const RecordedRun& run : journal.runs)
    fmt::print(out, "run {:016x} {} life {} began {} ended {}{}\n", run.request, run.key, run.incarnation,
               time_text(run.began, began), time_text(run.ended, began), run.completed ? " complete" : "");
}

}  // namespace damsonspoke::standins

#include "tier/forwarder_sessions.h"

#include <algorithm>

namespace damsonspoke::tier {
namespace {

constexpr std::size_t kAnswerBytes = sizeof(wire::tier::Answer) + 32;  // beside its body

using wire::tier::Answer;
using wire::tier::Result;

Answer answer_without_body(std::uint64_t attempt, Result result) {
  Answer answer;
  answer.attempt = attempt;
  answer.result = result;
  return answer;
}

}  // namespace

std::vector<RequestId> ForwarderSessions::open_requests_of(const Forwarder& forwarder) {
  std::vector<RequestId> out;
  for (const auto& [attempt, held] : forwarder.open) out.push_back(held.request);
  return out;
}

ForwarderSessions::SessionStart ForwarderSessions::open_session(const std::string& name, std::uint64_t epoch,
                                                                std::uint64_t link) {
  SessionStart out;
  for (auto it = forwarders_.begin(); it != forwarders_.end();) {
    Forwarder& known = it->second;
    if (known.name != name) {
      ++it;
      continue;
    }
    out.superseded_link = known.link;
    if (known.epoch == epoch) {
      known.link = link;
      known.disconnected_at = -1;
      out.forwarder = it->first;
      return out;
    }
    out.abandoned = open_requests_of(known);
    it = forwarders_.erase(it);
  }
  if (forwarders_.size() >= options_.max_forwarders) {
    // One that has no link is remembered only for its sake: the newcomer is there.
    const auto absent = std::find_if(forwarders_.begin(), forwarders_.end(),
                                     [&](const auto& one) { return one.second.link == 0; });
    if (absent == forwarders_.end()) return out;
    const std::vector<RequestId> more = open_requests_of(absent->second);
    out.abandoned.insert(out.abandoned.end(), more.begin(), more.end());
    forwarders_.erase(absent);
  }
  out.forwarder = next_++;
  Forwarder& fresh = forwarders_[out.forwarder];
  fresh.name = name;
  fresh.epoch = epoch;
  fresh.link = link;
  for (auto& [id, known] : forwarders_) trim(known);
  return out;
}

void ForwarderSessions::on_link_lost(std::uint64_t link, double now) {
  for (auto& [id, forwarder] : forwarders_) {
    if (forwarder.link != link) continue;
    forwarder.link = 0;
    forwarder.disconnected_at = now;
  }
}

double ForwarderSessions::next_expiry() const {
  double next = -1;
  for (const auto& [id, forwarder] : forwarders_) {
    if (forwarder.disconnected_at < 0) continue;
    const double at = forwarder.disconnected_at + options_.reconnect_grace_seconds;
    next = next < 0 ? at : std::min(next, at);
  }
  return next;
}

std::vector<RequestId> ForwarderSessions::take_expired(double now) {
  std::vector<RequestId> out;
  for (auto it = forwarders_.begin(); it != forwarders_.end();) {
    const Forwarder& forwarder = it->second;
    if (forwarder.disconnected_at < 0 || now < forwarder.disconnected_at + options_.reconnect_grace_seconds) {
      ++it;
      continue;
    }
    const std::vector<RequestId> more = open_requests_of(forwarder);
    out.insert(out.end(), more.begin(), more.end());
    it = forwarders_.erase(it);
  }
  return out;
}

ForwarderSessions::SubmitResult ForwarderSessions::submit(ForwarderId id, std::uint64_t attempt,
                                                          RequestId request, int route) {
  Forwarder& forwarder = forwarders_.at(id);
  if (attempt <= forwarder.last_attempt) return SubmitResult::kFenced;
  forwarder.last_attempt = attempt;
  if (forwarder.open.size() >= options_.max_open_attempts) return SubmitResult::kTooMany;
  forwarder.open[attempt] = {request, route};
  return SubmitResult::kAccepted;
}

std::optional<RequestId> ForwarderSessions::cancel(ForwarderId id, std::uint64_t attempt) {
  Forwarder& forwarder = forwarders_.at(id);
  forwarder.last_attempt = std::max(forwarder.last_attempt, attempt);
  const auto found = forwarder.open.find(attempt);
  if (found == forwarder.open.end()) return std::nullopt;
  const RequestId request = found->second.request;
  forwarder.open.erase(found);
  return request;
}

ForwarderSessions::Proof ForwarderSessions::prove(ForwarderId id, std::uint64_t attempt,
                                                  const std::function<bool(RequestId)>& started) {
  Forwarder& forwarder = forwarders_.at(id);
  const auto open = forwarder.open.find(attempt);
  if (open != forwarder.open.end()) {
    if (started(open->second.request)) return {answer_without_body(attempt, Result::kRunning), std::nullopt};
    const RequestId request = open->second.request;
    forwarder.open.erase(open);
    return {answer_without_body(attempt, Result::kNeverRan), request};
  }
  if (attempt > forwarder.last_attempt) {
    forwarder.last_attempt = attempt;
    return {answer_without_body(attempt, Result::kNeverRan), std::nullopt};
  }
  for (const Answer& answer : forwarder.cached_answers) {
    if (answer.attempt == attempt) return {answer, std::nullopt};
  }
  return {answer_without_body(attempt, Result::kOutcomeEvicted), std::nullopt};
}

std::uint64_t ForwarderSessions::record_answer(ForwarderId id, const Answer& answer) {
  const auto found = forwarders_.find(id);
  if (found == forwarders_.end()) return 0;
  Forwarder& forwarder = found->second;
  if (forwarder.open.erase(answer.attempt) == 0) return 0;
  forwarder.cached_answers.push_back(answer);
  forwarder.cached_bytes += kAnswerBytes + answer.body.size();
  trim(forwarder);
  return forwarder.link;
}

// The oldest go: they are the least likely to be asked for.
void ForwarderSessions::trim(Forwarder& forwarder) const {
  const std::size_t part = options_.answer_cache_bytes / std::max<std::size_t>(1, forwarders_.size());
  while (forwarder.cached_bytes > part) {
    forwarder.cached_bytes -= kAnswerBytes + forwarder.cached_answers.front().body.size();
    forwarder.cached_answers.pop_front();
  }
}

const OpenAttempt* ForwarderSessions::find(ForwarderId id, std::uint64_t attempt) const {
  const auto found = forwarders_.find(id);
  if (found == forwarders_.end()) return nullptr;
  const auto open = found->second.open.find(attempt);
  return open == found->second.open.end() ? nullptr : &open->second;
}

std::size_t ForwarderSessions::linked_forwarders() const {
  return static_cast<std::size_t>(std::count_if(forwarders_.begin(), forwarders_.end(),
                                                [](const auto& one) { return one.second.link != 0; }));
}
std::size_t ForwarderSessions::open_attempts(ForwarderId forwarder) const {
  const auto found = forwarders_.find(forwarder);
  return found == forwarders_.end() ? 0 : found->second.open.size();
}
std::size_t ForwarderSessions::open_attempts() const {
  std::size_t count = 0;
  for (const auto& [id, forwarder] : forwarders_) count += forwarder.open.size();
  return count;
}

}  // namespace damsonspoke::tier

#include "tier/forwarder_sessions.h"

#include <algorithm>

namespace damsonspoke::tier {
namespace {

using wire::tier::Answer;
using wire::tier::Result;

constexpr std::size_t kAnswerOverheadBytes = sizeof(Answer) + 32;  // beside its body

std::size_t cached_size(const Answer& answer) { return kAnswerOverheadBytes + answer.body.size(); }

Answer answer_without_body(std::uint64_t attempt, Result result) {
  Answer answer;
  answer.attempt = attempt;
  answer.result = result;
  return answer;
}

}  // namespace

void ForwarderSessions::append_open_requests(const Session& session, std::vector<RequestId>& out) {
  for (const auto& [attempt, open] : session.open) out.push_back(open.request);
}

ForwarderSessions::SessionStart ForwarderSessions::open_session(const std::string& name, std::uint64_t epoch,
                                                                std::uint64_t link) {
  SessionStart out;
  const auto known = std::find_if(sessions_.begin(), sessions_.end(),
                                  [&](const auto& entry) { return entry.second.name == name; });
  if (known != sessions_.end()) {
    Session& session = known->second;
    out.superseded_link = session.link;
    if (session.epoch == epoch) {
      session.link = link;
      session.disconnected_at = -1;
      out.forwarder = known->first;
      out.planner_epoch = planner_epoch(out.forwarder);
      return out;
    }
    append_open_requests(session, out.abandoned);
    sessions_.erase(known);
  }
  if (sessions_.size() >= options_.max_forwarders) {
    // Evicts a session without a link in favor of the connected forwarder.
    const auto unlinked = std::find_if(sessions_.begin(), sessions_.end(),
                                       [](const auto& entry) { return entry.second.link == 0; });
    if (unlinked == sessions_.end()) return out;
    append_open_requests(unlinked->second, out.abandoned);
    sessions_.erase(unlinked);
  }
  out.forwarder = next_id_++;
  out.planner_epoch = planner_epoch(out.forwarder);
  Session& fresh = sessions_[out.forwarder];
  fresh.name = name;
  fresh.epoch = epoch;
  fresh.link = link;
  for (auto& [id, session] : sessions_) trim_cache(session);  // each session now has a smaller share
  return out;
}

void ForwarderSessions::on_link_lost(std::uint64_t link, double now) {
  for (auto& [id, session] : sessions_) {
    if (session.link != link) continue;
    session.link = 0;
    session.disconnected_at = now;
  }
}

bool ForwarderSessions::has_expired(const Session& session, double now) const {
  return session.disconnected_at >= 0 && now >= session.disconnected_at + options_.reconnect_grace_seconds;
}

std::vector<RequestId> ForwarderSessions::take_expired(double now) {
  std::vector<RequestId> out;
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    if (!has_expired(it->second, now)) {
      ++it;
      continue;
    }
    append_open_requests(it->second, out);
    it = sessions_.erase(it);
  }
  return out;
}

ForwarderSessions::SubmitResult ForwarderSessions::submit(ForwarderId forwarder, std::uint64_t attempt,
                                                          RequestId request, int route) {
  Session& session = sessions_.at(forwarder);
  if (attempt <= session.last_attempt) return SubmitResult::kFenced;
  session.last_attempt = attempt;
  if (session.open.size() >= options_.max_open_attempts) return SubmitResult::kTooMany;
  session.open[attempt] = {request, route};
  return SubmitResult::kAccepted;
}

std::optional<RequestId> ForwarderSessions::cancel(ForwarderId forwarder, std::uint64_t attempt) {
  Session& session = sessions_.at(forwarder);
  session.last_attempt = std::max(session.last_attempt, attempt);
  const auto found = session.open.find(attempt);
  if (found == session.open.end()) return std::nullopt;
  const RequestId request = found->second.request;
  session.open.erase(found);
  return request;
}

ForwarderSessions::FenceResult ForwarderSessions::fence(ForwarderId forwarder, std::uint64_t attempt,
                                                        const std::function<bool(RequestId)>& may_have_run) {
  Session& session = sessions_.at(forwarder);
  const auto open = session.open.find(attempt);
  if (open != session.open.end()) {
    const RequestId request = open->second.request;
    if (may_have_run(request)) return {answer_without_body(attempt, Result::kRunning), std::nullopt};
    session.open.erase(open);
    return {answer_without_body(attempt, Result::kNeverRan), request};
  }
  if (attempt > session.last_attempt) {
    session.last_attempt = attempt;
    return {answer_without_body(attempt, Result::kNeverRan), std::nullopt};
  }
  const auto cached = std::find_if(session.cached_answers.begin(), session.cached_answers.end(),
                                   [&](const Answer& answer) { return answer.attempt == attempt; });
  if (cached != session.cached_answers.end()) return {*cached, std::nullopt};
  return {answer_without_body(attempt, Result::kOutcomeEvicted), std::nullopt};
}

std::uint64_t ForwarderSessions::record_answer(ForwarderId forwarder, const Answer& answer) {
  const auto found = sessions_.find(forwarder);
  if (found == sessions_.end()) return 0;
  Session& session = found->second;
  if (session.open.erase(answer.attempt) == 0) return 0;
  session.cached_answers.push_back(answer);
  session.cached_bytes += cached_size(answer);
  trim_cache(session);
  return session.link;
}

// Evicts the oldest answers first: they are the least likely to be requested.
void ForwarderSessions::trim_cache(Session& session) const {
  const std::size_t share = options_.answer_cache_bytes / std::max<std::size_t>(1, sessions_.size());
  while (session.cached_bytes > share) {
    session.cached_bytes -= cached_size(session.cached_answers.front());
    session.cached_answers.pop_front();
  }
}

const OpenAttempt* ForwarderSessions::find(ForwarderId forwarder, std::uint64_t attempt) const {
  const auto found = sessions_.find(forwarder);
  if (found == sessions_.end()) return nullptr;
  const auto open = found->second.open.find(attempt);
  return open == found->second.open.end() ? nullptr : &open->second;
}

bool ForwarderSessions::is_linked(ForwarderId forwarder) const {
  const auto found = sessions_.find(forwarder);
  return found != sessions_.end() && found->second.link != 0;
}

std::size_t ForwarderSessions::linked_forwarders() const {
  return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(),
                                                [](const auto& entry) { return entry.second.link != 0; }));
}

std::size_t ForwarderSessions::open_attempts(ForwarderId forwarder) const {
  const auto found = sessions_.find(forwarder);
  return found == sessions_.end() ? 0 : found->second.open.size();
}

std::size_t ForwarderSessions::open_attempts() const {
  std::size_t count = 0;
  for (const auto& [id, session] : sessions_) count += session.open.size();
  return count;
}

}  // namespace damsonspoke::tier

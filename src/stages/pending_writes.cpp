#include "stages/pending_writes.h"

#include <algorithm>
#include <utility>

namespace damsonspoke::stages {

PendingWrites::~PendingWrites() {
  for (auto& [id, timer] : intents_) reactor_.cancel(timer);
  for (auto& [id, pending] : results_) reactor_.cancel(pending.timer);
}

void PendingWrites::add_intent(RequestId id, double timeout, std::function<void()> on_timeout) {
  intents_[id] = reactor_.after(timeout, std::move(on_timeout));
}

void PendingWrites::remove_intent(RequestId id) {
  const auto found = intents_.find(id);
  if (found == intents_.end()) return;
  reactor_.cancel(found->second);
  intents_.erase(found);
}

void PendingWrites::add_result(RequestId id, std::string result, double timeout,
                               std::function<void()> on_timeout) {
  results_[id] = {std::move(result), reactor_.after(timeout, std::move(on_timeout))};
}

std::vector<RequestId> PendingWrites::pending_results() const {
  std::vector<RequestId> ids;
  ids.reserve(results_.size());
  for (const auto& [id, pending] : results_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::optional<std::string> PendingWrites::take_result(RequestId id) {
  auto found = results_.extract(id);
  if (found.empty()) return std::nullopt;
  reactor_.cancel(found.mapped().timer);
  return std::move(found.mapped().result);
}

}  // namespace damsonspoke::stages

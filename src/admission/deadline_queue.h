// The deadlines of the requests that are not answered yet.
#pragma once

#include <optional>
#include <set>
#include <utility>

#include "admission/request.h"

namespace damsonspoke {

class DeadlineQueue {
 public:
  // Times are seconds on the controller's clock.
  void add(double deadline, RequestId id) { deadlines_.insert({deadline, id}); }
  void remove(double deadline, RequestId id) { deadlines_.erase({deadline, id}); }
  void clear() { deadlines_.clear(); }

  [[nodiscard]] std::optional<double> earliest() const {
    if (deadlines_.empty()) return std::nullopt;
    return deadlines_.begin()->first;
  }
  // The request with the earliest deadline, if that deadline has passed.
  [[nodiscard]] std::optional<RequestId> overdue(double now) const {
    if (deadlines_.empty() || deadlines_.begin()->first > now) return std::nullopt;
    return deadlines_.begin()->second;
  }

 private:
  std::set<std::pair<double, RequestId>> deadlines_;
};

}  // namespace damsonspoke

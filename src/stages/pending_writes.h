// The intents and results that are being written to the results store, each with its timeout.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/request.h"
#include "net/reactor.h"

namespace damsonspoke::stages {

// Timeouts are in seconds. Their callbacks run on the reactor's thread; none runs after the destructor.
class PendingWrites {
 public:
  explicit PendingWrites(net::Reactor& reactor) : reactor_(reactor) {}
  ~PendingWrites();
  PendingWrites(const PendingWrites&) = delete;
  PendingWrites& operator=(const PendingWrites&) = delete;

  void add_intent(RequestId id, double timeout, std::function<void()> on_timeout);
  // Cancels the timeout. Does nothing if no intent of this request is pending.
  void remove_intent(RequestId id);

  // Adds the result of a finished run that is not durable yet. It remains pending after its timeout.
  void add_result(RequestId id, std::string result, double timeout, std::function<void()> on_timeout);
  [[nodiscard]] bool has_result(RequestId id) const { return results_.contains(id); }
  // The requests whose results are pending, ordered by id.
  [[nodiscard]] std::vector<RequestId> pending_results() const;
  // Removes the pending result, cancels its timeout and returns it; nullopt if none is pending.
  std::optional<std::string> take_result(RequestId id);

 private:
  struct PendingResult {
    std::string result;
    net::Reactor::TimerId timer;
  };

  net::Reactor& reactor_;
  std::unordered_map<RequestId, net::Reactor::TimerId> intents_;
  std::unordered_map<RequestId, PendingResult> results_;
};

}  // namespace damsonspoke::stages

// The intents and results of requests that are on their way to the store, each with its timeout.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/request.h"
#include "net/reactor.h"

namespace damsonspoke::stages {

// Timeouts are seconds; their callbacks come on the reactor's thread, and none after the destructor.
class PendingWrites {
 public:
  explicit PendingWrites(net::Reactor& reactor) : reactor_(reactor) {}
  ~PendingWrites();
  PendingWrites(const PendingWrites&) = delete;
  PendingWrites& operator=(const PendingWrites&) = delete;

  void add_intent(RequestId id, double timeout, std::function<void()> on_timeout);
  // Cancels the timeout; nothing where no intent is pending.
  void remove_intent(RequestId id);

  // A result that is not durable yet; its run is over. It stays pending after its timeout.
  void add_result(RequestId id, std::string result, double timeout, std::function<void()> on_timeout);
  [[nodiscard]] bool has_result(RequestId id) const { return results_.contains(id); }
  // Requests whose results are pending, in the order of their ids.
  [[nodiscard]] std::vector<RequestId> pending_results() const;
  // Ends the pending write and gives its result; nothing where none is pending.
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

// Presents two servers as one. An answer is routed to its server by the tag of its connection, so that the
// stages need not know by which protocol a request arrived.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

#include "peers/ajp/server.h"
#include "peers/ports.h"

namespace damsonspoke::peers {

// Owns both servers. All calls other than answers go to both.
class CombinedServer : public RequestServer {
 public:
  // `first`: any server whose tags don't have kAjpTagBit.
  CombinedServer(std::unique_ptr<RequestServer> first, std::unique_ptr<AjpServer> ajp)
      : first_(std::move(first)), ajp_(std::move(ajp)) {}

  void answer_succeeded(ReplyAddress reply_to, std::string_view result) override {
    server_of(reply_to).answer_succeeded(reply_to, result);
  }
  void answer_rejected(ReplyAddress reply_to, double retry_after, bool no_retry) override {
    server_of(reply_to).answer_rejected(reply_to, retry_after, no_retry);
  }
  void answer_failed(ReplyAddress reply_to, FailureReason reason) override {
    server_of(reply_to).answer_failed(reply_to, reason);
  }
  void answer_health_check(ReplyAddress reply_to, bool is_healthy) override {
    server_of(reply_to).answer_health_check(reply_to, is_healthy);
  }
  void set_idle_timeout(double seconds) override {
    first_->set_idle_timeout(seconds);
    ajp_->set_idle_timeout(seconds);
  }
  void announce_drain() override {
    first_->announce_drain();
    ajp_->announce_drain();
  }
  void start_warm_up(bool is_cold, double seconds_ago) override {
    first_->start_warm_up(is_cold, seconds_ago);
    ajp_->start_warm_up(is_cold, seconds_ago);
  }
  void set_healthy(bool is_healthy) override {
    first_->set_healthy(is_healthy);
    ajp_->set_healthy(is_healthy);
  }
  void stop_listening() override {
    first_->stop_listening();
    ajp_->stop_listening();
  }
  [[nodiscard]] bool is_listening() const override { return first_->is_listening() || ajp_->is_listening(); }
  void close_idle_connections() override {
    first_->close_idle_connections();
    ajp_->close_idle_connections();
  }
  [[nodiscard]] std::size_t connections() const override {
    return first_->connections() + ajp_->connections();
  }
  // The first server's.
  [[nodiscard]] std::uint16_t port() const override { return first_->port(); }

 private:
  RequestServer& server_of(ReplyAddress reply_to) {
    if ((reply_to.connection & kAjpTagBit) != 0) return *ajp_;
    return *first_;
  }
  const std::unique_ptr<RequestServer> first_;
  const std::unique_ptr<AjpServer> ajp_;
};

}  // namespace damsonspoke::peers

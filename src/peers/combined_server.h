// Two fronts as one: stages answer by ticket and need not know which protocol it came by.
#pragma once

#include <memory>

#include "peers/ajp/server.h"
#include "peers/ports.h"

namespace damsonspoke::peers {

class CombinedServer : public Front {
 public:
  CombinedServer(std::unique_ptr<Front> first, std::unique_ptr<AjpServer> ajp)
      : first_(std::move(first)), ajp_(std::move(ajp)) {}

  void answer_succeeded(ReplyAddress ticket, std::string_view result) override {
    of(ticket).answer_succeeded(ticket, result);
  }
  void answer_rejected(ReplyAddress ticket, double retry_after, bool no_retry) override {
    of(ticket).answer_rejected(ticket, retry_after, no_retry);
  }
  void answer_failed(ReplyAddress ticket, FailureReason why) override {
    of(ticket).answer_failed(ticket, why);
  }
  void answer_check(ReplyAddress ticket, bool good) override { of(ticket).answer_check(ticket, good); }
  void set_idle_timeout(double after) override {
    first_->set_idle_timeout(after);
    ajp_->set_idle_timeout(after);
  }
  void ask_no_more() override {
    first_->ask_no_more();
    ajp_->ask_no_more();
  }
  void began(bool cold, double ago) override {
    first_->began(cold, ago);
    ajp_->began(cold, ago);
  }
  void health(bool good) override {
    first_->health(good);
    ajp_->health(good);
  }
  void stop_listening() override {
    first_->stop_listening();
    ajp_->stop_listening();
  }
  void end_all() override {
    first_->end_all();
    ajp_->end_all();
  }
  std::size_t connections() const override { return first_->connections() + ajp_->connections(); }
  std::uint16_t port() const override { return first_->port(); }
  AjpServer& ajp() { return *ajp_; }

 private:
  Front& of(ReplyAddress ticket) {
    if ((ticket.connection & kAjpTickets) != 0) return *ajp_;
    return *first_;
  }
  const std::unique_ptr<Front> first_;
  const std::unique_ptr<AjpServer> ajp_;
};

}  // namespace damsonspoke::peers

// The first stage: ops and checks as callers send them.
#pragma once

#include <unordered_map>

#include "catalog/catalog.h"
#include "net/reactor.h"
#include "peers/ports.h"
#include "stages/admit.h"
#include "stages/book.h"
#include "stages/recall.h"
#include "stages/send.h"
#include "watch/counters.h"

namespace damsonspoke::stages {

class TakeIn : public peers::CallerEvents {
 public:
  struct Stages {
    Book& book;
    Admit& admit;
    Send& send;
    Recall& recall;
  };
  TakeIn(net::Reactor& reactor, Stages stages, const peers::Ports& peers, const StartSettings& site,
         const catalog::Catalog& catalog, Counters& counters)
      : reactor_(reactor),
        stages_(stages),
        peers_(peers),
        site_(site),
        catalog_(catalog),
        counters_(counters) {}
  ~TakeIn() override;

  bool in_use(OpId id) const override { return stages_.book.holds(id); }
  bool has_started(OpId id) const override;
  void on_op_read(peers::IncomingOp op) override;
  void on_caller_gone(OpId id) override;
  void on_check(peers::Ticket ticket, bool wants_work) override;
  void on_verdict(std::uint64_t tag, bool good);

 private:
  struct Check {
    peers::Ticket ticket;
    net::Reactor::TimerId patience;
  };

  net::Reactor& reactor_;
  Stages stages_;
  const peers::Ports& peers_;
  const StartSettings& site_;
  const catalog::Catalog& catalog_;
  Counters& counters_;
  std::unordered_map<std::uint64_t, Check> checks_;  // that wait for a self test, by its tag
  std::uint64_t next_check_ = 1;
};

}  // namespace damsonspoke::stages

// One backend: its peers and stages put together, and its life from the first link to the last answer.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "app/catalog_watch.h"
#include "app/membership.h"
#include "conns/share.h"
#include "control/server.h"
#include "net/reactor.h"
#include "peers/ajp_below.h"
#include "peers/ajp_callers.h"
#include "peers/below.h"
#include "peers/door.h"
#include "peers/ports.h"
#include "peers/roster.h"
#include "peers/runtime.h"
#include "settings/config.h"
#include "stages/admit.h"
#include "stages/book.h"
#include "stages/learn.h"
#include "stages/recall.h"
#include "stages/relay.h"
#include "stages/route.h"
#include "stages/send.h"
#include "stages/take_in.h"
#include "watch/counters.h"
#include "watch/logger.h"

namespace damsonspoke {

enum class Role { kRelay, kPlanner };  // what stands in front of it: callers, or forwarders

class Backend {
 public:
  // Reads the configuration anew; throws std::exception with one plain line where it can't be used.
  using Reread = std::function<Choice()>;
  // Throws std::exception with one plain line where an address can't be used.
  Backend(Role role, const Choice& choice, Reread reread, Logger& log);
  // Serves until the notice to leave has been followed to its end. Returns the exit status.
  int run();
  std::uint16_t port() const { return front_->port(); }

 private:
  void leave();
  void reload();
  void look_at_leaving();
  std::unique_ptr<peers::Front> make_front(Role role);
  void make_door(int connections, const std::vector<double>& floors);
  void listen_for_questions();
  void report();

  Config config_;
  OperatorOptions options_;
  const Reread reread_;
  Logger& log_;
  Counters counters_;
  net::Reactor reactor_;
  CatalogWatch catalog_;
  peers::Ports ports_;
  stages::Book book_;
  stages::Send send_;
  stages::Recall recall_;
  stages::Learn learn_;
  stages::Route route_;
  stages::Admit admit_;
  stages::TakeIn take_in_;
  stages::Relay relay_;
  std::unique_ptr<conns::Share> share_;       // with two fronts
  std::unique_ptr<control::Server> control_;  // where operators have one
  Membership membership_;                     // nothing where operators have none
  std::unique_ptr<peers::Door> door_;         // where operators have one; before the fronts
  peers::AjpCallers* ajp_ = nullptr;          // one of them, where there is one; before who sets it
  std::unique_ptr<peers::Front> front_;
  peers::Runtime runtime_;
  peers::Below below_;
  std::unique_ptr<peers::AjpBelow> ajp_below_;  // in its place, where operators say so
  peers::Roster roster_;
  double leaving_since_ = -1;
  bool listening_ = true;
};

}  // namespace damsonspoke

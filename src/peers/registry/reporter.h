// The roster: callers learn of backends from it. Reports keep this one on the list, on or off.
#pragma once

#include <string>

#include "net/datagram.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "peers/ports.h"

namespace damsonspoke::peers {

class RegistryReporter : public RegistryPort {
 public:
  RegistryReporter(net::Reactor& reactor, const std::string& address, std::string name, Counters& counters);
  ~RegistryReporter() override;
  void report(bool takes_work) override;
  void move_to(const std::string& address);

 private:
  void send();

  net::Reactor& reactor_;
  std::string name_;
  Counters& counters_;
  net::Datagrams datagrams_;
  bool takes_work_ = false;
  bool reports_ = false;  // nothing is said before the first report
  net::Reactor::TimerId timer_;
};

}  // namespace damsonspoke::peers

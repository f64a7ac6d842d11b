// Reports this backend to the registry, from which callers learn the backends' addresses. An entry expires
// unless it is reported again.
#pragma once

#include <string>

#include "net/datagram.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "peers/ports.h"

namespace damsonspoke::peers {

// Sends a report at each change and every 0.2 s after the first one.
class RegistryReporter : public RegistryPort {
 public:
  // `name`: this backend's name in the registry. Throws std::runtime_error where the address can't be used.
  RegistryReporter(net::Reactor& reactor, const std::string& address, std::string name, Counters& counters);
  ~RegistryReporter() override;
  RegistryReporter(const RegistryReporter&) = delete;
  RegistryReporter& operator=(const RegistryReporter&) = delete;

  void report(bool is_accepting_requests) override;
  // Reports to another address from now on; at once, if a report was sent before.
  void move_to(const std::string& address);

 private:
  void send();

  net::Reactor& reactor_;
  std::string name_;
  Counters& counters_;
  net::DatagramSender datagrams_;
  bool is_accepting_requests_ = false;
  bool has_reported_ = false;
  net::Reactor::TimerId report_timer_;
};

}  // namespace damsonspoke::peers

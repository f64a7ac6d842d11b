#include "peers/registry/reporter.h"

#include "net/address.h"
#include "wire/registry_report.h"

namespace damsonspoke::peers {
namespace {

constexpr double kEvery =
    0.2;  // s; an entry lapses after 3 s, and a turn to off that is lost costs this much

}  // namespace

RegistryReporter::RegistryReporter(net::Reactor& reactor, const std::string& address, std::string name,
                                   Counters& counters)
    : reactor_(reactor),
      name_(std::move(name)),
      counters_(counters),
      datagrams_(net::parse_address(address)) {}

RegistryReporter::~RegistryReporter() { reactor_.cancel(timer_); }

void RegistryReporter::report(bool takes_work) {
  takes_work_ = takes_work;
  reports_ = true;
  reactor_.cancel(timer_);
  send();
}

void RegistryReporter::move_to(const std::string& address) {
  datagrams_.move_to(net::parse_address(address));
  if (reports_) report(takes_work_);
}

void RegistryReporter::send() {
  if (datagrams_.send(wire::encode_report(name_, takes_work_))) counters_.add(Count::kRosterReports);
  timer_ = reactor_.after(kEvery, [this] { send(); });
}

}  // namespace damsonspoke::peers

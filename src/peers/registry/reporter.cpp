#include "peers/registry/reporter.h"

#include <utility>

#include "net/address.h"
#include "wire/registry_report.h"

namespace damsonspoke::peers {
namespace {

constexpr double kReportSeconds = 0.2;  // an entry expires after 3 s; a datagram may be lost

}  // namespace

RegistryReporter::RegistryReporter(net::Reactor& reactor, const std::string& address, std::string name,
                                   Counters& counters)
    : reactor_(reactor),
      name_(std::move(name)),
      counters_(counters),
      datagrams_(net::parse_address(address)) {}

RegistryReporter::~RegistryReporter() { reactor_.cancel(report_timer_); }

void RegistryReporter::report(bool is_accepting_requests) {
  is_accepting_requests_ = is_accepting_requests;
  has_reported_ = true;
  reactor_.cancel(report_timer_);
  send();
}

void RegistryReporter::move_to(const std::string& address) {
  datagrams_.move_to(net::parse_address(address));
  if (has_reported_) report(is_accepting_requests_);
}

void RegistryReporter::send() {
  if (datagrams_.send(wire::encode_report(name_, is_accepting_requests_)))
    counters_.add(Count::kRegistryReports);
  report_timer_ = reactor_.after(kReportSeconds, [this] { send(); });
}

}  // namespace damsonspoke::peers

#include "members/broken_links.h"

namespace damsonspoke::members {

void BrokenLinks::update(const std::string& reporter, const std::vector<BrokenLink>& links, double now) {
  if (links.empty()) return forget(reporter);
  Report& report = reports_[reporter];
  report.received_at = now;
  report.links.clear();
  for (const BrokenLink& link : links) {
    const double since = now - link.age_ms / 1000.0;
    report.links.push_back(link.is_inbound ? ObservedLink{link.peer, reporter, since, reporter}
                                           : ObservedLink{reporter, link.peer, since, reporter});
  }
}

std::vector<ObservedLink> BrokenLinks::links(double now) const {
  std::vector<ObservedLink> found;
  for (const auto& [reporter, report] : reports_) {
    if (now - report.received_at > retention_seconds_) continue;
    found.insert(found.end(), report.links.begin(), report.links.end());
  }
  return found;
}

}  // namespace damsonspoke::members

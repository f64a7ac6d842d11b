#include "members/broken_links.h"

namespace damsonspoke::members {

void BrokenLinks::update(const std::string& reporter, const std::vector<BrokenLink>& broken, double now) {
  if (broken.empty()) return forget(reporter);
  Report& report = reports_[reporter];
  report.received_at = now;
  report.links.clear();
  for (const BrokenLink& link : broken) {
    const double since = now - link.age_ms / 1000.0;
    report.links.push_back(link.is_inbound ? ObservedLink{link.peer, reporter, since, reporter}
                                           : ObservedLink{reporter, link.peer, since, reporter});
  }
}

std::vector<ObservedLink> BrokenLinks::links(double now) const {
  std::vector<ObservedLink> out;
  for (const auto& [reporter, report] : reports_) {
    if (now - report.received_at > retention_) continue;
    out.insert(out.end(), report.links.begin(), report.links.end());
  }
  return out;
}

bool BrokenLinks::is_broken(const std::string& from, const std::string& to, double now) const {
  for (const auto& [reporter, report] : reports_) {
    if (now - report.received_at > retention_) continue;
    for (const ObservedLink& link : report.links) {
      if (link.from == from && link.to == to) return true;
    }
  }
  return false;
}

void LinkHealth::record_probe(bool inbound_works, bool outbound_works, double now) {
  inbound_.record_probe(inbound_works, now);
  outbound_.record_probe(outbound_works, now);
}

}  // namespace damsonspoke::members

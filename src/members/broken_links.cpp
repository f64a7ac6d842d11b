#include "members/broken_links.h"

namespace damsonspoke::members {

void BrokenLinks::told(const std::string& by, const std::vector<BrokenLink>& broken, double now) {
  if (broken.empty()) return forget(by);
  Account& account = told_[by];
  account.at = now;
  account.links.clear();
  for (const BrokenLink& link : broken) {
    const double since = now - link.age_ms / 1000.0;
    account.links.push_back(link.inward ? ObservedLink{link.other, by, since, by}
                                        : ObservedLink{by, link.other, since, by});
  }
}

std::vector<ObservedLink> BrokenLinks::broken(double now) const {
  std::vector<ObservedLink> out;
  for (const auto& [by, account] : told_) {
    if (now - account.at > keep_) continue;
    out.insert(out.end(), account.links.begin(), account.links.end());
  }
  return out;
}

bool BrokenLinks::is_broken(const std::string& from, const std::string& to, double now) const {
  for (const auto& [by, account] : told_) {
    if (now - account.at > keep_) continue;
    for (const ObservedLink& link : account.links) {
      if (link.from == from && link.to == to) return true;
    }
  }
  return false;
}

void LinkHealth::judged(bool inward_works, bool outward_works, double now) {
  inward_.judged(inward_works, now);
  outward_.judged(outward_works, now);
}

}  // namespace damsonspoke::members

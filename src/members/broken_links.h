// The broken links that other members report, each with its direction and age. A report replaces the previous
// one of the same member and expires after a retention time. Pure; times are seconds, monotonic.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "members/record.h"

namespace damsonspoke::members {

// A direction between two members in which nothing arrives.
struct ObservedLink {
  std::string from;
  std::string to;
  double since = 0;  // when the link broke
  std::string reported_by;
};

class BrokenLinks {
 public:
  explicit BrokenLinks(double retention_seconds) : retention_seconds_(retention_seconds) {}
  void update(const std::string& reporter, const std::vector<BrokenLink>& links, double now);
  void forget(const std::string& reporter) { reports_.erase(reporter); }
  // The links of all reports that have not expired.
  [[nodiscard]] std::vector<ObservedLink> links(double now) const;

 private:
  struct Report {
    double received_at = 0;
    std::vector<ObservedLink> links;
  };
  const double retention_seconds_;
  std::map<std::string, Report> reports_;  // by reporter
};

}  // namespace damsonspoke::members

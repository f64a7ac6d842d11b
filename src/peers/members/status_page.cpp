#include "peers/members/status_page.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace damsonspoke::peers {
namespace {

using members::LoadReport;
using members::MemberStatus;

constexpr std::size_t kMaxListedMembers = 600;
constexpr int kPermillePerPercent = 10;
constexpr int kUnhealthyScore = 2;  // above it, the first line warns

// The texts of DependencyState in the operators' interface.
const char* dependency_text(members::DependencyState state) {
  switch (state) {
    case members::DependencyState::kUnknown: return "unknown";
    case members::DependencyState::kHealthy: return "well";
    case members::DependencyState::kSlow: return "slow";
    case members::DependencyState::kUnavailable: return "gone";
  }
  return "";
}

nlohmann::json to_json(const LoadReport& report) {
  return {{"role", report.role},
          {"zone", report.zone},
          {"build", report.build},
          {"generation", report.config_generation},
          {"digest", report.config_digest},
          {"room", report.free_capacity},
          {"load", report.load_permille},
          {"sheds", report.shed_threshold_tenths},
          {"below", dependency_text(report.dependency)},
          {"serves", report.service_address}};
}

nlohmann::json to_json(const MemberStatus& member, double now) {
  nlohmann::json json = {{"name", member.name},           {"address", member.address},
                         {"epoch", member.epoch},         {"state", members::text_of(member.state)},
                         {"since_s", now - member.since}, {"pause_s", member.longest_pause}};
  if (!member.accusers.empty()) json["by"] = member.accusers;
  if (member.conflicting_epoch != 0) json["contest"] = member.conflicting_epoch;
  if (member.load_report) {
    json["told"] = to_json(*member.load_report);
    json["told_age_s"] = member.load_report_age;
  }
  return json;
}

std::string remarks(const MemberStatus& member) {
  std::string text;
  if (!member.accusers.empty())
    text = fmt::format("unanswered probes from {}", fmt::join(member.accusers, " "));
  if (member.conflicting_epoch != 0) text += " name used by a second process";
  if (member.longest_pause > 0) text += fmt::format(" paused for {:.1f} s", member.longest_pause);
  return text;
}

std::string table_row(const MemberStatus& member, double now) {
  std::string role = "-";
  std::string zone = "-";
  std::string load = "-";
  std::string capacity = "-";
  std::string age = "old";
  if (member.load_report) {
    role = member.load_report->role;
    zone = member.load_report->zone;
    load = fmt::format("{}%", member.load_report->load_permille / kPermillePerPercent);
    capacity = fmt::format("{}", member.load_report->free_capacity);
    age = fmt::format("{:.1f}s", member.load_report_age);
  }
  return fmt::format("{:<16}{:<11}{:>7.1f}s  {:<10}{:<10}{:>6}{:>6}{:>7}  {}\n", member.name,
                     members::text_of(member.state), now - member.since, role, zone, load, capacity, age,
                     remarks(member));
}

}  // namespace

std::string status_json(const members::MembershipView& view, double now) {
  const std::vector<MemberStatus> all = view.members(now);
  const members::Record self = view.self_record(now);
  nlohmann::json page = {{"self",
                          {{"name", self.name},
                           {"address", self.address},
                           {"epoch", self.epoch},
                           {"incarnation", self.incarnation},
                           {"yielded", view.has_yielded()},
                           {"fitness", view.local_health_score()},
                           {"contest", self.conflicting_epoch}}},
                         {"there", view.alive_count() + 1},
                         {"known", all.size() + 1}};
  for (std::size_t i = 0; i < std::min(all.size(), kMaxListedMembers); ++i)
    page["members"].push_back(to_json(all[i], now));
  for (const members::ObservedLink& link : view.broken_links(now))
    page["broken_links"].push_back(
        {{"from", link.from}, {"to", link.to}, {"since_s", now - link.since}, {"told_by", link.reported_by}});
  return page.dump() + "\n";
}

std::string status_table(const members::MembershipView& view, double now) {
  const std::vector<MemberStatus> all = view.members(now);
  const members::Record self = view.self_record(now);
  const std::vector<members::ObservedLink> broken_links = view.broken_links(now);
  std::string page =
      fmt::format("{} at {}, epoch {}, {} of {} members active{}{}\n\n", self.name, self.address, self.epoch,
                  view.alive_count() + 1, all.size() + 1,
                  view.has_yielded() ? "; YIELDED to an older process with this name" : "",
                  view.local_health_score() > kUnhealthyScore ? "; this member may itself be unhealthy" : "");
  page += fmt::format("{:<16}{:<11}{:>8}  {:<10}{:<10}{:>6}{:>6}{:>7}  {}\n", "member", "state", "since",
                      "role", "zone", "load", "room", "age", "why");
  for (std::size_t i = 0; i < std::min(all.size(), kMaxListedMembers); ++i) page += table_row(all[i], now);
  if (all.size() > kMaxListedMembers) page += fmt::format("and {} more\n", all.size() - kMaxListedMembers);
  if (!broken_links.empty()) page += "\nbroken links\n";
  for (const members::ObservedLink& link : broken_links)
    page += fmt::format("    {} -> {} for {:.1f} s, by {}\n", link.from, link.to, now - link.since,
                        link.reported_by);
  return page;
}

}  // namespace damsonspoke::peers

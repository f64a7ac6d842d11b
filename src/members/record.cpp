#include "members/record.h"

#include <tuple>

namespace damsonspoke::members {
namespace {

constexpr std::size_t kRecordBytes = 16;      // numbers and heads of a record that tells nothing more
constexpr std::size_t kTextBytes = 2;         // head of a text
constexpr std::size_t kLoadReportBytes = 12;  // numbers and heads of what a member tells
constexpr std::size_t kLinkBytes = 7;         // of a broken link, beside the name

std::size_t approximate_bytes(const LoadReport& report) {
  if (report.version == 0) return 0;
  return kLoadReportBytes + report.role.size() + report.zone.size() + report.build.size() +
         report.service_address.size() + 4 * kTextBytes;
}

}  // namespace

std::size_t approximate_bytes(const Record& record) {
  std::size_t bytes = kRecordBytes + record.name.size() + record.address.size() + 2 * kTextBytes;
  for (const std::string& accuser : record.accusers) bytes += accuser.size() + kTextBytes;
  for (const BrokenLink& link : record.broken_links) bytes += link.peer.size() + kLinkBytes;
  return bytes + approximate_bytes(record.load_report);
}

bool supersedes(const Record& a, const Record& b) {
  const auto key = [](const Record& r) {
    return std::make_tuple(r.newest_epoch(), r.conflicting_epoch > 0, r.incarnation,
                           static_cast<int>(r.condition));
  };
  return key(a) > key(b);
}

}  // namespace damsonspoke::members

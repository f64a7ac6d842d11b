#include "members/record.h"

#include <tuple>

namespace damsonspoke::members {
namespace {

constexpr std::size_t kRecordBytes = 16;  // numbers and headers of a record without optional fields
constexpr std::size_t kTextHeaderBytes = 2;
constexpr std::size_t kLoadReportBytes = 12;  // numbers and headers
constexpr std::size_t kBrokenLinkBytes = 7;   // beside the name

std::size_t approximate_bytes(const LoadReport& report) {
  if (report.version == 0) return 0;
  return kLoadReportBytes + report.role.size() + report.zone.size() + report.build.size() +
         report.service_address.size() + 4 * kTextHeaderBytes;
}

}  // namespace

std::size_t approximate_bytes(const Record& record) {
  std::size_t bytes = kRecordBytes + record.name.size() + record.address.size() + 2 * kTextHeaderBytes;
  for (const std::string& accuser : record.accusers) bytes += accuser.size() + kTextHeaderBytes;
  for (const BrokenLink& link : record.broken_links) bytes += link.peer.size() + kBrokenLinkBytes;
  return bytes + approximate_bytes(record.load_report);
}

bool supersedes(const Record& a, const Record& b) {
  const auto precedence = [](const Record& r) {
    return std::make_tuple(r.newest_epoch(), r.conflicting_epoch > 0, r.incarnation,
                           static_cast<int>(r.condition));
  };
  return precedence(a) > precedence(b);
}

}  // namespace damsonspoke::members

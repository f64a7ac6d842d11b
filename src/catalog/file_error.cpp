#include "catalog/file_error.h"

#include <fmt/format.h>

namespace damsonspoke::catalog {
namespace {

struct Describe {
  std::string operator()(const Unreadable& error) const { return error.cause; }
  std::string operator()(const ChecksumFailed& error) const {
    return std::string(store::text_of(error.problem));
  }
  std::string operator()(const NotASnapshot&) const { return "it is not a snapshot"; }
  std::string operator()(const NotABatch&) const { return "it is not a batch of changes"; }
  std::string operator()(const ContentTooLarge& error) const {
    return fmt::format("it contains {} bytes, the limit is {}", error.bytes, error.limit);
  }
  std::string operator()(const WrongFileSize& error) const {
    return fmt::format("its size is {} bytes instead of {}: truncated or corrupt", error.bytes,
                       error.expected);
  }
  std::string operator()(const MissingHeader&) const { return "it has no header"; }
  std::string operator()(const InvalidLine& error) const {
    return fmt::format("line {}: {}", error.line, error.cause);
  }
  std::string operator()(const LineTooLong& error) const {
    return fmt::format("line {}: it is longer than {} bytes", error.line, error.bytes);
  }
  std::string operator()(const RejectedEntry& error) const {
    return fmt::format("line {}: {}: {}", error.line, error.entry, to_string(error.error));
  }
  std::string operator()(const LowerEpoch& error) const {
    return fmt::format("its epoch {} is lower than the active one", error.epoch);
  }
  std::string operator()(const ConflictingSnapshot& error) const {
    return fmt::format("version {} conflicts with the history of the active catalog",
                       to_string(error.version));
  }
  std::string operator()(const TooManyEntries& error) const {
    return fmt::format("it has {} routes and {} tenants, the limits are {} and {}", error.found.routes,
                       error.found.tenants, error.limits.routes, error.limits.tenants);
  }
  std::string operator()(const WrongEntryCounts& error) const {
    return fmt::format("its header declares {} routes and {} tenants, but it has {} and {}",
                       error.declared.routes, error.declared.tenants, error.found.routes,
                       error.found.tenants);
  }
  std::string operator()(const NoRoutes&) const { return "it has no route"; }
  std::string operator()(const ReplacedWhileRead&) const { return "it was replaced while it was being read"; }
  std::string operator()(const Torn&) const { return "truncated or corrupt"; }
  std::string operator()(const UnterminatedLine&) const { return "its last line is not terminated"; }
  std::string operator()(const WrongChangeCount& error) const {
    return fmt::format("it has {} changes for the sequence numbers {} to {}", error.changes,
                       error.first_sequence, error.last_sequence);
  }
  std::string operator()(const SequenceGap& error) const {
    return fmt::format("sequence gap: it starts with {}, expected {}", error.first_sequence, error.expected);
  }
  std::string operator()(const ConflictingChange& error) const {
    return fmt::format("change {} conflicts with the history of the active catalog", error.sequence);
  }
  std::string operator()(const WrongHistoryDigest&) const {
    return "its changes do not match the digest of its header";
  }
};

}  // namespace

std::string to_string(const FileError& error) { return std::visit(Describe{}, error); }

std::string to_string(Version version) { return fmt::format("{}.{}", version.epoch, version.sequence); }

}  // namespace damsonspoke::catalog

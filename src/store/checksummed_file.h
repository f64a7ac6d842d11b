// A small file that is there whole or not at all: written aside, synced, renamed, its folder synced; with a
// length and a checksum, so that a part of it is never taken for it; and the one before it kept beside.
//
// After "All File Systems Are Not Created Equal" (OSDI 2014): a rename may reach the disk before the bytes of
// what was renamed, so bytes are synced first; names are not durable until their folder is.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "store/file_system.h"

namespace damsonspoke::store {

enum class ChecksumProblem { kNone, kMissing, kCorrupt, kUnrecognized, kNewerFormat };
std::string_view text_of(ChecksumProblem problem);

struct ChecksummedContent {
  ChecksumProblem problem = ChecksumProblem::kMissing;
  std::uint32_t format_version = 0;  // of the content, as its writer names it
  std::string content;               // where there is no problem
};

std::string add_checksum(std::uint32_t format_version, std::string_view content);
// Forms above `known` are kNewerFormat: whole, and not for us.
ChecksummedContent verify_checksum(std::string_view bytes, std::uint32_t known);

// The head of what is sealed, for who reads the content piece by piece.
struct ChecksumHeader {
  ChecksumProblem problem =
      ChecksumProblem::kCorrupt;  // kCorrupt also where there are fewer bytes than a head has
  std::uint32_t format_version = 0;
  std::uint64_t length = 0;  // bytes of content
  std::uint64_t checksum = 0;
};
constexpr std::size_t kChecksumHeaderBytes = 28;
ChecksumHeader read_checksum_header(std::string_view bytes, std::uint32_t known);

// The checksum of content that is read piece by piece.
class ChecksumVerifier {
 public:
  explicit ChecksumVerifier(const ChecksumHeader& head);
  ~ChecksumVerifier();
  ChecksumVerifier(const ChecksumVerifier&) = delete;
  ChecksumVerifier& operator=(const ChecksumVerifier&) = delete;
  void add(std::string_view piece);
  bool is_valid() const;  // all of the content was added, and it is what was sealed

 private:
  struct State;
  std::unique_ptr<State> state_;
};

class ChecksummedFile {
 public:
  // `max_bytes`: bytes of content.
  ChecksummedFile(FileSystem& disk, std::string name, std::uint32_t format_version, std::size_t max_bytes)
      : files_(disk), name_(std::move(name)), format_version_(format_version), max_bytes_(max_bytes) {}

  struct ReadResult {
    ChecksummedContent content;  // what is to be used, or why there is nothing
    bool is_previous = false;    // it is the one before: the newest was of no use
  };
  ReadResult read();
  // False where it could not be made durable; what was there is still there. A newer program's file is never
  // overwritten: it is moved aside once, to NAME.newer.
  bool write(std::string_view content);
  void remove();  // both generations

 private:
  std::string older() const { return name_ + ".1"; }

  FileSystem& files_;
  const std::string name_;
  const std::uint32_t format_version_;
  const std::size_t max_bytes_;
};

}  // namespace damsonspoke::store

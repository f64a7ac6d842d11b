// A small file that is replaced atomically and verified by a checksum when it is read. The previous
// generation is retained as a fallback.
//
// The write sequence follows "All File Systems Are Not Created Equal" (Pillai et al., OSDI 2014): a rename
// may reach the disk before the bytes of the renamed file, so the bytes are synced first; and a name is not
// durable until its folder is synced.
//
// Layout: the magic "DSPKFILE", format version (4 bytes), content length (8), XXH3 checksum of both and of
// the content (8), then the content. Numbers are little endian.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "store/file_system.h"

namespace damsonspoke::store {

enum class ChecksumProblem : std::uint8_t {
  kNone,
  kMissing,       // the file does not exist
  kCorrupt,       // the file is truncated or its checksum does not match
  kUnrecognized,  // the file does not begin with the magic
  kNewerFormat,   // the file has a format version that this program does not support
};
std::string_view text_of(ChecksumProblem problem);

struct ChecksummedContent {
  ChecksumProblem problem = ChecksumProblem::kMissing;
  std::uint32_t format_version = 0;  // of the content, chosen by its writer
  std::string content;               // empty if there is a problem
};

// Returns the bytes of a file with this content: the header and the content.
std::string add_checksum(std::uint32_t format_version, std::string_view content);
// Verifies the bytes of a file and returns its content. `latest_known_version`: the latest format version
// that the caller supports.
ChecksummedContent verify_checksum(std::string_view bytes, std::uint32_t latest_known_version);

// The header of a file, for callers that read its content in pieces.
struct ChecksumHeader {
  ChecksumProblem problem = ChecksumProblem::kCorrupt;  // also if the header is incomplete
  std::uint32_t format_version = 0;
  std::uint64_t length = 0;  // bytes of content
  std::uint64_t checksum = 0;
};
inline constexpr std::size_t kChecksumHeaderBytes = 28;
ChecksumHeader read_checksum_header(std::string_view bytes, std::uint32_t latest_known_version);

// Verifies the checksum of content that is read in pieces.
class ChecksumVerifier {
 public:
  explicit ChecksumVerifier(const ChecksumHeader& header);  // throws std::bad_alloc
  ~ChecksumVerifier();
  ChecksumVerifier(const ChecksumVerifier&) = delete;
  ChecksumVerifier& operator=(const ChecksumVerifier&) = delete;

  void add(std::string_view piece);
  // Whether the pieces added so far are the complete content that the header describes.
  [[nodiscard]] bool is_valid() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// A checksummed file and its previous generation (NAME.1) in one folder.
class ChecksummedFile {
 public:
  // `format_version`: the version that is written, and the latest one that can be read. `max_bytes`: limit of
  // the content.
  ChecksummedFile(FileSystem& file_system, std::string name, std::uint32_t format_version,
                  std::size_t max_bytes)
      : file_system_(file_system),
        name_(std::move(name)),
        format_version_(format_version),
        max_bytes_(max_bytes) {}

  struct ReadResult {
    ChecksummedContent content;
    bool is_previous = false;  // the current generation was unusable; this is the previous generation
  };
  ReadResult read();
  // Replaces the file atomically and durably; the replaced file becomes the previous generation. Returns
  // false if that fails or the content is too long; read() then still returns the earlier content. The first
  // file with a newer format version that would be replaced is preserved as NAME.newer.
  [[nodiscard]] bool write(std::string_view content);
  // Removes both generations.
  void remove();

 private:
  std::string previous_name() const { return name_ + ".1"; }
  ChecksummedContent read_generation(const std::string& name);

  FileSystem& file_system_;
  const std::string name_;
  const std::uint32_t format_version_;
  const std::size_t max_bytes_;
};

}  // namespace damsonspoke::store

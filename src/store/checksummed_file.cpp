#include "store/checksummed_file.h"

#include <xxhash.h>

#include <algorithm>
#include <new>

namespace damsonspoke::store {
namespace {

constexpr std::string_view kMagic = "DSPKFILE";
constexpr std::size_t kVersionOffset = 8;
constexpr std::size_t kVersionBytes = 4;
constexpr std::size_t kLengthOffset = 12;
constexpr std::size_t kChecksumOffset = 20;
constexpr std::size_t kNumberBytes = 8;  // of the length and of the checksum

void append_little_endian(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i));
}

std::uint64_t read_little_endian(std::string_view in, std::size_t offset, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = bytes; i-- > 0;) value = value << 8 | static_cast<unsigned char>(in[offset + i]);
  return value;
}

// The format version and the length are included in the checksum as its seed.
std::uint64_t seed_of(std::uint32_t format_version, std::uint64_t length) {
  return format_version * 0x9e3779b97f4a7c15ULL + length;
}

std::uint64_t checksum_of(std::uint32_t format_version, std::string_view content) {
  return XXH3_64bits_withSeed(content.data(), content.size(), seed_of(format_version, content.size()));
}

bool begins_with_magic(std::string_view bytes) {
  const std::size_t length = std::min(bytes.size(), kMagic.size());
  return bytes.substr(0, length) == kMagic.substr(0, length);
}

}  // namespace

std::string_view text_of(ChecksumProblem problem) {
  switch (problem) {
    case ChecksumProblem::kNone: return "sound";
    case ChecksumProblem::kMissing: return "missing";
    case ChecksumProblem::kCorrupt: return "truncated or corrupt";
    case ChecksumProblem::kUnrecognized: return "not a file of this program";
    case ChecksumProblem::kNewerFormat: return "written by a newer program";
  }
  return "";
}

std::string add_checksum(std::uint32_t format_version, std::string_view content) {
  std::string out(kMagic);
  append_little_endian(out, format_version, kVersionBytes);
  append_little_endian(out, content.size(), kNumberBytes);
  append_little_endian(out, checksum_of(format_version, content), kNumberBytes);
  out += content;
  return out;
}

ChecksumHeader read_checksum_header(std::string_view bytes, std::uint32_t latest_known_version) {
  ChecksumHeader header;
  if (!begins_with_magic(bytes)) {
    header.problem = ChecksumProblem::kUnrecognized;
    return header;
  }
  if (bytes.size() < kChecksumHeaderBytes) return header;
  header.format_version =
      static_cast<std::uint32_t>(read_little_endian(bytes, kVersionOffset, kVersionBytes));
  header.length = read_little_endian(bytes, kLengthOffset, kNumberBytes);
  header.checksum = read_little_endian(bytes, kChecksumOffset, kNumberBytes);
  header.problem =
      header.format_version > latest_known_version ? ChecksumProblem::kNewerFormat : ChecksumProblem::kNone;
  return header;
}

ChecksummedContent verify_checksum(std::string_view bytes, std::uint32_t latest_known_version) {
  const ChecksumHeader header = read_checksum_header(bytes, latest_known_version);
  ChecksummedContent out;
  out.problem = header.problem;
  out.format_version = header.format_version;
  if (header.problem == ChecksumProblem::kUnrecognized || header.problem == ChecksumProblem::kCorrupt)
    return out;
  const std::string_view content = bytes.substr(kChecksumHeaderBytes);
  if (header.length != content.size() || header.checksum != checksum_of(header.format_version, content)) {
    out.problem = ChecksumProblem::kCorrupt;
    return out;
  }
  if (out.problem == ChecksumProblem::kNone) out.content = content;
  return out;
}

struct ChecksumVerifier::State {
  struct FreeHash {
    void operator()(XXH3_state_t* hash) const { XXH3_freeState(hash); }
  };
  ChecksumHeader header;
  std::unique_ptr<XXH3_state_t, FreeHash> hash{XXH3_createState()};
  std::uint64_t received_bytes = 0;
};

ChecksumVerifier::ChecksumVerifier(const ChecksumHeader& header) : state_(std::make_unique<State>()) {
  state_->header = header;
  if (state_->hash == nullptr) throw std::bad_alloc();
  XXH3_64bits_reset_withSeed(state_->hash.get(), seed_of(header.format_version, header.length));
}

ChecksumVerifier::~ChecksumVerifier() = default;

void ChecksumVerifier::add(std::string_view piece) {
  state_->received_bytes += piece.size();
  XXH3_64bits_update(state_->hash.get(), piece.data(), piece.size());
}

bool ChecksumVerifier::is_valid() const {
  return state_->received_bytes == state_->header.length &&
         XXH3_64bits_digest(state_->hash.get()) == state_->header.checksum;
}

ChecksummedContent ChecksummedFile::read_generation(const std::string& name) {
  const std::optional<std::string> bytes = file_system_.read(name, max_bytes_ + kChecksumHeaderBytes);
  if (bytes) return verify_checksum(*bytes, format_version_);
  ChecksummedContent unreadable;
  unreadable.problem = file_system_.exists(name) ? ChecksumProblem::kCorrupt : ChecksumProblem::kMissing;
  return unreadable;
}

ChecksummedFile::ReadResult ChecksummedFile::read() {
  ReadResult result{read_generation(name_), false};
  const ChecksumProblem problem = result.content.problem;
  if (problem == ChecksumProblem::kNone || problem == ChecksumProblem::kNewerFormat) return result;
  ChecksummedContent previous = read_generation(previous_name());
  if (previous.problem != ChecksumProblem::kNone) return result;
  return {std::move(previous), true};
}

bool ChecksummedFile::write(std::string_view content) {
  if (content.size() > max_bytes_) return false;
  const std::string temporary = name_ + ".new";
  if (!file_system_.write(temporary, add_checksum(format_version_, content))) return false;
  if (!file_system_.sync(temporary)) return false;

  const std::optional<std::string> current = file_system_.read(name_, max_bytes_ + kChecksumHeaderBytes);
  const ChecksumProblem problem =
      current ? verify_checksum(*current, format_version_).problem : ChecksumProblem::kMissing;
  // Only an intact file becomes the previous generation, so that a corrupt file does not replace the last
  // intact one.
  if (problem == ChecksumProblem::kNone && !file_system_.rename(name_, previous_name())) return false;
  const std::string newer = name_ + ".newer";
  if (problem == ChecksumProblem::kNewerFormat && !file_system_.exists(newer) &&
      !file_system_.rename(name_, newer))
    return false;
  return file_system_.rename(temporary, name_) && file_system_.sync_folder();
}

void ChecksummedFile::remove() {
  for (const std::string& name : {name_, previous_name(), name_ + ".new"}) file_system_.remove(name);
  file_system_.sync_folder();
}

}  // namespace damsonspoke::store

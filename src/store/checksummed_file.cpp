#include "store/checksummed_file.h"

#include <xxhash.h>

#include <algorithm>
#include <new>

namespace damsonspoke::store {
namespace {

// "DSPKFILE", the format_version, the length and the checksum of format_version, length and content; numbers
// as little endian.
constexpr std::string_view kMark = "DSPKFILE";
constexpr std::size_t kHead = kChecksumHeaderBytes;

void put(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i));
}
std::uint64_t take(std::string_view in, std::size_t at, int bytes) {
  std::uint64_t value = 0;
  for (int i = bytes; i-- > 0;)
    value = value << 8 | static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]);
  return value;
}
std::uint64_t seed_of(std::uint32_t format_version, std::uint64_t length) {
  return format_version * 0x9e3779b97f4a7c15ULL + length;
}
std::uint64_t sum_of(std::uint32_t format_version, std::string_view content) {
  return XXH3_64bits_withSeed(content.data(), content.size(), seed_of(format_version, content.size()));
}

}  // namespace

std::string_view text_of(ChecksumProblem problem) {
  switch (problem) {
    case ChecksumProblem::kNone: return "sound";
    case ChecksumProblem::kMissing: return "not there";
    case ChecksumProblem::kCorrupt: return "torn or damaged";
    case ChecksumProblem::kUnrecognized: return "no file of ours";
    case ChecksumProblem::kNewerFormat: return "written by a newer program";
  }
  return "";
}

std::string add_checksum(std::uint32_t format_version, std::string_view content) {
  std::string out(kMark);
  put(out, format_version, 4);
  put(out, content.size(), 8);
  put(out, sum_of(format_version, content), 8);
  out += content;
  return out;
}

ChecksumHeader read_checksum_header(std::string_view bytes, std::uint32_t known) {
  ChecksumHeader head;
  const std::size_t shown = std::min(bytes.size(), kMark.size());
  if (bytes.substr(0, shown) != kMark.substr(0, shown)) head.problem = ChecksumProblem::kUnrecognized;
  if (head.problem == ChecksumProblem::kUnrecognized || bytes.size() < kHead) return head;
  head.format_version = static_cast<std::uint32_t>(take(bytes, 8, 4));
  head.length = take(bytes, 12, 8);
  head.checksum = take(bytes, 20, 8);
  head.problem = head.format_version > known ? ChecksumProblem::kNewerFormat : ChecksumProblem::kNone;
  return head;
}

ChecksummedContent verify_checksum(std::string_view bytes, std::uint32_t known) {
  ChecksummedContent out;
  const ChecksumHeader head = read_checksum_header(bytes, known);
  out.problem = head.problem;
  out.format_version = head.format_version;
  if (head.problem == ChecksumProblem::kUnrecognized || head.problem == ChecksumProblem::kCorrupt) return out;
  const std::string_view content = bytes.substr(kHead);
  if (head.length != content.size() || head.checksum != sum_of(head.format_version, content)) {
    out.problem = ChecksumProblem::kCorrupt;
    return out;
  }
  if (out.problem == ChecksumProblem::kNone) out.content = content;
  return out;
}

// ---- SealCheck.

struct ChecksumVerifier::State {
  ChecksumHeader head;
  XXH3_state_t* sum = nullptr;
  std::uint64_t length = 0;  // bytes so far
};

ChecksumVerifier::ChecksumVerifier(const ChecksumHeader& head) : state_(std::make_unique<State>()) {
  state_->head = head;
  state_->sum = XXH3_createState();
  if (state_->sum == nullptr) throw std::bad_alloc();
  XXH3_64bits_reset_withSeed(state_->sum, seed_of(head.format_version, head.length));
}
ChecksumVerifier::~ChecksumVerifier() { XXH3_freeState(state_->sum); }

void ChecksumVerifier::add(std::string_view piece) {
  state_->length += piece.size();
  XXH3_64bits_update(state_->sum, piece.data(), piece.size());
}
bool ChecksumVerifier::is_valid() const {
  return state_->length == state_->head.length && XXH3_64bits_digest(state_->sum) == state_->head.checksum;
}

ChecksummedFile::ReadResult ChecksummedFile::read() {
  ReadResult found;
  const auto look = [&](const std::string& name) {
    const std::optional<std::string> bytes = files_.read(name, max_bytes_ + kHead);
    if (bytes) return verify_checksum(*bytes, format_version_);
    ChecksummedContent none;
    none.problem = files_.exists(name) ? ChecksumProblem::kCorrupt : ChecksumProblem::kMissing;
    return none;
  };
  found.content = look(name_);
  if (found.content.problem == ChecksumProblem::kNone ||
      found.content.problem == ChecksumProblem::kNewerFormat)
    return found;
  ChecksummedContent before = look(older());
  if (before.problem != ChecksumProblem::kNone) return found;
  found.content = std::move(before);
  found.is_previous = true;
  return found;
}

bool ChecksummedFile::write(std::string_view content) {
  if (content.size() > max_bytes_) return false;
  const std::string aside = name_ + ".new";
  if (!files_.write(aside, add_checksum(format_version_, content)) || !files_.sync(aside)) return false;
  const std::optional<std::string> there = files_.read(name_, max_bytes_ + kHead);
  const ChecksumProblem was =
      there ? verify_checksum(*there, format_version_).problem : ChecksumProblem::kMissing;
  // Only what is sound becomes the one before: a torn file must not push out the last good one.
  if (was == ChecksumProblem::kNone && !files_.rename(name_, older())) return false;
  if (was == ChecksumProblem::kNewerFormat && !files_.exists(name_ + ".newer") &&
      !files_.rename(name_, name_ + ".newer"))
    return false;
  return files_.rename(aside, name_) && files_.sync_folder();
}

void ChecksummedFile::remove() {
  for (const std::string& name : {name_, older(), name_ + ".new"}) files_.remove(name);
  files_.sync_folder();
}

}  // namespace damsonspoke::store

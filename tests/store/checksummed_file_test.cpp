// Tests that a checksummed file is replaced atomically, and that only intact content of a supported format
// version is read.
#include "store/checksummed_file.h"

#include <gtest/gtest.h>

#include "recording_folder.h"

namespace damsonspoke::store {
namespace {

using testing::RecordingFolder;

constexpr std::uint32_t kFormatVersion = 3;
constexpr std::size_t kMaxBytes = 64;

ChecksummedFile file_in(RecordingFolder& folder) { return {folder, "state", kFormatVersion, kMaxBytes}; }

TEST(ChecksummedFile, IsMissingInAnEmptyFolder) {
  RecordingFolder folder;
  const ChecksummedFile::ReadResult result = file_in(folder).read();
  EXPECT_EQ(result.content.problem, ChecksumProblem::kMissing);
  EXPECT_FALSE(result.is_previous);
}

TEST(ChecksummedFile, FallsBackToThePreviousGeneration) {
  RecordingFolder folder;
  ChecksummedFile file = file_in(folder);
  ASSERT_TRUE(file.write("first"));
  ASSERT_TRUE(file.write("second"));
  EXPECT_EQ(file.read().content.content, "second");

  RecordingFolder::Files files = folder.files();
  files["state"].resize(kChecksumHeaderBytes + 1);
  RecordingFolder truncated(files);
  const ChecksummedFile::ReadResult result = file_in(truncated).read();
  EXPECT_TRUE(result.is_previous);
  EXPECT_EQ(result.content.content, "first");
}

TEST(ChecksummedFile, DoesNotRetainACorruptFileAsPreviousGeneration) {
  RecordingFolder folder;
  ChecksummedFile file = file_in(folder);
  ASSERT_TRUE(file.write("first"));
  ASSERT_TRUE(file.write("second"));
  RecordingFolder::Files files = folder.files();
  files["state"][kChecksumHeaderBytes] ^= 1;
  RecordingFolder corrupt(files);
  ASSERT_TRUE(file_in(corrupt).write("third"));
  EXPECT_EQ(verify_checksum(corrupt.files().at("state.1"), kFormatVersion).content, "first");
}

TEST(ChecksummedFile, PreservesTheFirstFileOfANewerFormat) {
  const std::string newer = add_checksum(kFormatVersion + 1, "unknown");
  RecordingFolder folder({{"state", newer}});
  ChecksummedFile file = file_in(folder);
  EXPECT_EQ(file.read().content.problem, ChecksumProblem::kNewerFormat);
  ASSERT_TRUE(file.write("ours"));
  ASSERT_TRUE(file.write("ours again"));
  EXPECT_EQ(folder.files().at("state.newer"), newer);
}

TEST(ChecksummedFile, RejectsContentThatIsTooLong) {
  RecordingFolder folder;
  EXPECT_TRUE(file_in(folder).write(std::string(kMaxBytes, 'x')));
  EXPECT_FALSE(file_in(folder).write(std::string(kMaxBytes + 1, 'x')));
}

TEST(ChecksumHeader, DistinguishesForeignBytesFromAnIncompleteHeader) {
  EXPECT_EQ(read_checksum_header("#!/bin/sh\n", kFormatVersion).problem, ChecksumProblem::kUnrecognized);
  EXPECT_EQ(read_checksum_header("DSPK", kFormatVersion).problem, ChecksumProblem::kCorrupt);
}

TEST(ChecksumVerifier, AcceptsOnlyThePiecesOfTheCompleteContent) {
  const std::string bytes = add_checksum(kFormatVersion, "in three pieces");
  ChecksumVerifier verifier(read_checksum_header(bytes, kFormatVersion));
  verifier.add("in ");
  verifier.add("three ");
  EXPECT_FALSE(verifier.is_valid());
  verifier.add("pieces");
  EXPECT_TRUE(verifier.is_valid());
}

}  // namespace
}  // namespace damsonspoke::store

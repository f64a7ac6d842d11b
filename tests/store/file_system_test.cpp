// Tests the FileSystem of the machine and the errors that it reports.
#include "store/file_system.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <filesystem>

namespace damsonspoke::store {
namespace {

class FileSystemTest : public ::testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = ::testing::TempDir() + "damsonspoke-XXXXXX";
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    path_ = pattern;
    folder_ = open_folder(path_);
  }
  void TearDown() override {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }

  std::string path_;
  std::unique_ptr<FileSystem> folder_;
};

TEST_F(FileSystemTest, ReadsWhatWasWritten) {
  ASSERT_TRUE(folder_->write("a", "content"));
  ASSERT_TRUE(folder_->sync("a"));
  ASSERT_TRUE(folder_->rename("a", "b"));
  ASSERT_TRUE(folder_->sync_folder());
  EXPECT_FALSE(folder_->exists("a"));
  EXPECT_EQ(folder_->read("b", 7), "content");
  EXPECT_EQ(folder_->last_error().operation, FileOperation::kNone);
}

TEST_F(FileSystemTest, ReportsWhyAFileIsNotRead) {
  EXPECT_EQ(folder_->read("missing", 10), std::nullopt);
  EXPECT_EQ(folder_->last_error().operation, FileOperation::kRead);
  EXPECT_EQ(folder_->last_error().error_number, ENOENT);
  EXPECT_EQ(text_of(folder_->last_error()), path_ + ": cannot read missing: No such file or directory");

  ASSERT_TRUE(folder_->write("long", "content"));
  EXPECT_EQ(folder_->read("long", 6), std::nullopt);
  EXPECT_EQ(folder_->last_error().error_number, EFBIG);
}

TEST_F(FileSystemTest, RemovesAMissingFileWithoutError) { EXPECT_TRUE(folder_->remove("missing")); }

TEST_F(FileSystemTest, GivesTheLockToOneHolder) {
  EXPECT_TRUE(folder_->try_lock());
  EXPECT_TRUE(folder_->try_lock());
  const std::unique_ptr<FileSystem> other = open_folder(path_);
  EXPECT_FALSE(other->try_lock());
  EXPECT_EQ(text_of(other->last_error()), path_ + ": locked by another process");
  folder_.reset();
  EXPECT_TRUE(other->try_lock());
}

}  // namespace
}  // namespace damsonspoke::store

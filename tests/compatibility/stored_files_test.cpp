// Guards against a change that makes stored files unreadable: each stored format is read from a file that
// version 0.3.0 (f43fab7) wrote, under tests/data/stored, and all its values are compared.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "catalog/folder.h"
#include "conns/known_clients_record.h"
#include "results/database.h"
#include "statistics/statistics_store.h"
#include "store/checksummed_file.h"
#include "store/file_system.h"
#include "tier/endpoint_list_history.h"

using namespace damsonspoke;

namespace {

// Works on a copy of the stored files, because reading may write files beside them (locks, journals).
class StoredFiles : public ::testing::Test {
 protected:
  void SetUp() override {
    folder_ = std::filesystem::temp_directory_path() / ("stored_files_" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder_);
    std::filesystem::copy(std::string(TEST_DATA_FOLDER) + "/stored", folder_,
                          std::filesystem::copy_options::recursive);
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }
  std::string path(const std::string& name) const { return (folder_ / name).string(); }

  store::ChecksummedContent read_checksummed(const std::string& folder, const std::string& name,
                                             std::uint32_t format, std::size_t max_bytes) {
    const std::unique_ptr<store::FileSystem> file_system = store::open_folder(path(folder));
    return store::ChecksummedFile(*file_system, name, format, max_bytes).read().content;
  }

  std::filesystem::path folder_;
};

TEST_F(StoredFiles, ResultsDatabaseIsReadCompletely) {
  using namespace results;
  Database database(path("results/results.db"), {false, 0, true, nullptr});
  EXPECT_FALSE(database.is_new());
  EXPECT_EQ(database.seed(), 11420642726564356063u);
  EXPECT_TRUE(database.verify().empty());

  std::vector<Row> rows;
  database.for_each([&](const Row& row) { rows.push_back(row); });
  ASSERT_EQ(rows.size(), 2u);
  EXPECT_EQ(rows[0].key, (Key{1, 2}));
  EXPECT_EQ(rows[0].request_id, 3u);
  EXPECT_EQ(rows[0].route, "rate-push");
  EXPECT_EQ(rows[0].fingerprint, 4u);
  EXPECT_EQ(rows[0].expires_at_ms, 4102444800000);
  EXPECT_TRUE(rows[0].has_result);
  EXPECT_EQ(rows[1].key, (Key{5, 0xffffffffffffffff}));
  EXPECT_EQ(rows[1].request_id, 6u);
  EXPECT_EQ(rows[1].route, "avail-read");
  EXPECT_EQ(rows[1].fingerprint, 0xfedcba9876543210u);
  EXPECT_EQ(rows[1].expires_at_ms, 4102444800001);
  EXPECT_FALSE(rows[1].has_result);
  const std::optional<Row> fetched = database.fetch({1, 2});
  ASSERT_TRUE(fetched.has_value());
  EXPECT_EQ(fetched->result, "a result");
}

TEST_F(StoredFiles, LearnedStatisticsAreReadCompletely) {
  const std::unique_ptr<store::FileSystem> folder = store::open_folder(path("knowledge"));
  const statistics::RecordReadResult read = statistics::StatisticsFolder(*folder).read();
  EXPECT_EQ(read.problem, statistics::ReadProblem::kNone);
  EXPECT_EQ(read.failed_starts, 0);
  EXPECT_FALSE(read.is_previous);
  ASSERT_TRUE(read.record.has_value());
  const statistics::StatisticsRecord& record = *read.record;
  EXPECT_EQ(record.written_at, 1764700000.25);
  EXPECT_EQ(record.uptime_seconds, 3600.5);
  EXPECT_EQ(record.server_name, "relay-1");
  EXPECT_EQ(record.cores, 4);
  EXPECT_EQ(record.dependency, 1);
  EXPECT_EQ(record.caller_idle_timeout, 30);
  EXPECT_TRUE(record.under_pressure);
  EXPECT_EQ(record.returning_share, 0.75);
  ASSERT_EQ(record.routes.size(), 2u);
  EXPECT_EQ(record.routes[0].name, "avail-read");
  EXPECT_EQ(record.routes[0].latency_objective, 0.2);
  EXPECT_EQ(record.routes[0].timeout, 0.9);
  EXPECT_TRUE(record.routes[0].calls_dependency);
  EXPECT_EQ(record.routes[0].run.bins, (std::vector<double>{0, 1, 2.5, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}));
  EXPECT_EQ(record.routes[0].run.sum, 0.04);
  EXPECT_EQ(record.routes[0].call.bins, (std::vector<double>{0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0}));
  EXPECT_EQ(record.routes[0].call.sum, 0.1);
  EXPECT_EQ(record.routes[1].name, "rate-push");
  EXPECT_FALSE(record.routes[1].calls_dependency);
  EXPECT_EQ(record.calls.bins, (std::vector<double>{4, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1}));
  EXPECT_EQ(record.calls.sum, 22.5);
}

TEST_F(StoredFiles, KnownClientsAreReadCompletely) {
  const store::ChecksummedContent checksummed =
      read_checksummed("clients", "clients", conns::kKnownClientsFormat, conns::kMaxKnownClientsBytes);
  ASSERT_EQ(checksummed.problem, store::ChecksumProblem::kNone);
  const std::optional<std::vector<conns::KnownClient>> clients =
      conns::decode_known_clients(checksummed.content);
  ASSERT_TRUE(clients.has_value());
  ASSERT_EQ(clients->size(), 2u);
  EXPECT_EQ(conns::text_of((*clients)[0].client), "127.0.0.9");
  EXPECT_EQ((*clients)[0].score, 40);
  EXPECT_EQ((*clients)[0].last_success, 1764700000);
  EXPECT_TRUE((*clients)[0].is_known);
  EXPECT_EQ((*clients)[1].client, *conns::parse_prefix("2001:db8:1:2::/64"));
  EXPECT_EQ((*clients)[1].score, 7);
  EXPECT_EQ((*clients)[1].last_success, 1764600000);
  EXPECT_FALSE((*clients)[1].is_known);
}

TEST_F(StoredFiles, PlannerListsAreReadCompletely) {
  const store::ChecksummedContent checksummed = read_checksummed(
      "planners", "planners", tier::kEndpointListHistoryVersion, tier::kMaxEndpointListHistoryBytes);
  ASSERT_EQ(checksummed.problem, store::ChecksumProblem::kNone);
  const std::optional<tier::EndpointListHistory> lists =
      tier::decode_endpoint_list_history(checksummed.content);
  ASSERT_TRUE(lists.has_value());
  EXPECT_EQ(lists->current, (std::vector<std::string>{"127.0.0.1:7001", "127.0.0.1:7002"}));
  ASSERT_EQ(lists->former.size(), 1u);
  EXPECT_EQ(lists->former[0].until, 1764700000.5);
  EXPECT_EQ(lists->former[0].planners, (std::vector<std::string>{"127.0.0.1:7000", "127.0.0.1:7001"}));
}

TEST_F(StoredFiles, CatalogSnapshotAndChangesAreReadCompletely) {
  const catalog::LoadedFolder loaded = catalog::load_folder(path("catalog"), {64, 64, true});
  EXPECT_TRUE(loaded.rejected_changes.empty());
  EXPECT_EQ(loaded.catalog->version(), (catalog::Version{3, 12}));
  EXPECT_EQ(loaded.catalog->history(), 0x809ad23af1326f82u);
  EXPECT_EQ(
      catalog::encode_entries(*loaded.catalog),
      R"({"calls":true,"give-up":900.0,"route":"pay","semantics":"fragile","target":300.0,"worth":4.0,"worth-without":0.5}
{"give-up":250.0,"late-worth":0.25,"route":"avail-read","semantics":"retryable","target":100.0,"worth":1.0}
{"give-up":250.0,"route":"hold","semantics":"dedup","target":100.0,"window":2000.0,"worth":1.5}
{"give-up":400.0,"route":"rate-push","semantics":"retryable","target":200.0,"worth":2.0}
{"quota-per-s":12.5,"tenant":"north"}
)");
  EXPECT_EQ(loaded.changes_bytes, 217u);
  const int position = loaded.catalog->find_route("rate-push");
  ASSERT_GE(position, 0);
  const Route& route = loaded.catalog->route(position);
  EXPECT_EQ(route.latency_objective, 0.2);
  EXPECT_EQ(route.timeout, 0.4);
  EXPECT_EQ(route.priority_weight, 2);
}

}  // namespace

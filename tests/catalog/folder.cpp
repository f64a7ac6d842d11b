// Writing the catalog's files. CTest compares with tests/traces/catalog_NAME.txt.
// usage: folder - SCENARIO
#include "catalog/folder.h"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "catalog_fixtures.h"
#include "scenarios.h"

using namespace damsonspoke;
using namespace damsonspoke::catalog;
using namespace damsonspoke::catalog::testing;

namespace {

// A writer that is killed after writing any number of bytes loses no complete batch.
void folders() {
  char path[] = "/tmp/damsonspoke-catalog-XXXXXX";
  if (::mkdtemp(path) == nullptr) std::abort();
  const std::string folder = path;
  const CatalogLimits limits{100, 100, true};
  write_snapshot(folder, {1, 1}, 11, encode_changes({route("r"), tenant("a", 1)}));
  append_changes(folder, 1, encode_changes({tenant("b", 1)}), limits);
  const Version version = append_changes(folder, 1, encode_changes({tenant("c", 1), tenant("d", 1)}), limits);
  say("a snapshot and three changes", version == Version{1, 4});
  const std::string file = folder + "/" + kChangesFile;
  std::ifstream in(file, std::ios::binary);
  const std::string complete((std::istreambuf_iterator<char>(in)), {});
  bool all_accepted = true;
  bool all_continued = true;
  for (std::size_t size = 0; size < complete.size(); ++size) {
    std::ofstream(file, std::ios::binary) << complete.substr(0, size);
    const LoadedFolder loaded = load_folder(folder, limits);
    const std::uint64_t sequence = loaded.catalog->version().sequence;
    all_accepted = all_accepted && loaded.rejected_changes.empty() && (sequence == 1 || sequence == 2);
    if (size % 16 != 0) continue;
    append_changes(folder, 1, encode_changes({tenant("e", 1)}), limits);
    const LoadedFolder next = load_folder(folder, limits);
    all_continued =
        all_continued && next.rejected_changes.empty() && next.catalog->version().sequence == sequence + 1;
  }
  say("truncated at any byte: the complete batches are active, nothing is rejected", all_accepted);
  say("the next batch is appended after them", all_continued);
  std::ofstream(file, std::ios::binary) << complete;
  const LoadedFolder loaded = load_folder(folder, limits);
  write_snapshot(folder, loaded.catalog->version(), loaded.catalog->history(),
                 encode_entries(*loaded.catalog));
  const LoadedFolder again = load_folder(folder, limits);
  say("a snapshot of the loaded catalog is identical",
      encode_entries(*again.catalog) == encode_entries(*loaded.catalog) &&
          again.catalog->version() == loaded.catalog->version() && again.rejected_changes.empty());
  try {
    append_changes(folder, 0, encode_changes({tenant("x", 1)}), limits);
    std::printf("NO\n");
  } catch (const CatalogFileError& error) {
    std::printf("a lower epoch: %s\n", error.what());
  }
  std::filesystem::remove_all(folder);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused_binary;
  return run_scenario(argc, argv, unused_binary, {{"folders", folders}});
}

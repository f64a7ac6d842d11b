// Makes and checks the catalog's files, for operators' tools: what a running backend follows is written here.
// Mechanism: it reads and writes a folder, and decides nothing that catalog/follower does not.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "catalog/catalog.h"
#include "catalog/follower.h"

namespace damsonspoke::catalog {

// Thrown with one plain line.
struct CatalogFileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What a backend would have in force that starts with this folder.
struct LoadedFolder {
  std::unique_ptr<Catalog> catalog;
  std::vector<RejectedChange> rejected_changes;
  std::vector<FollowerMessage> messages;
  std::uint64_t changes_bytes = 0;  // of the file of changes, in whole spans that were taken
};
LoadedFolder load_folder(const std::string& folder, const CatalogLimits& limits);

// The lines of a file of entries or changes, each checked. Throws CatalogFileError with its line number.
std::string read_lines(const std::string& path);

// Writes a snapshot with these entries; the one before is kept as NAME.1. Throws CatalogFileError.
void write_snapshot(const std::string& folder, Version version, HistoryDigest history,
                    const std::string& lines);
// All entries of a catalog as lines, by name.
std::string encode_entries(const Catalog& catalog);

// Appends spans with these changes behind the last whole span; a torn one behind it goes. Returns the version
// of the last change. Throws CatalogFileError where the folder does not load without a refusal, or can't be
// written.
Version append_changes(const std::string& folder, std::uint64_t epoch, const std::string& lines,
                       const CatalogLimits& limits);

}  // namespace damsonspoke::catalog

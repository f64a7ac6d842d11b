// Writes and checks the folder with the catalog's files, for operators' tools; running backends read it.
// Mechanism: what becomes active is decided in catalog/follower alone.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "catalog/catalog.h"
#include "catalog/follower.h"

namespace damsonspoke::catalog {

// A file that can't be read, decoded or written. what() is one line for operators.
struct CatalogFileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What a backend that starts with a folder would have active.
struct LoadedFolder {
  std::unique_ptr<Catalog> catalog;
  std::vector<RejectedChange> rejected_changes;
  std::vector<FollowerMessage> messages;
  std::uint64_t changes_bytes = 0;  // of the file of changes, in complete batches that were accepted
};
LoadedFolder load_folder(const std::string& folder, const CatalogLimits& limits);

// The lines of a file of entries or changes, without the empty ones; each was decoded once. Throws
// CatalogFileError with the number of the line.
std::string read_lines(const std::string& path);

// Writes a snapshot with these entries; the previous one is kept as NAME.1. Throws CatalogFileError.
void write_snapshot(const std::string& folder, Version version, HistoryDigest history,
                    const std::string& lines);
// All entries of a catalog as sorted lines.
std::string encode_entries(const Catalog& catalog);

// Appends batches with these changes behind the last complete batch; a torn batch there is overwritten.
// Returns the version of the last change. Throws CatalogFileError when a file of the folder would be rejected
// as a whole, or can't be written.
Version append_changes(const std::string& folder, std::uint64_t epoch, const std::string& lines,
                       const CatalogLimits& limits);

}  // namespace damsonspoke::catalog

// Writes and checks the folder with the catalog's files, for operators' tools; running backends read it. What
// becomes active is decided in catalog/follower alone.
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

// What a backend that starts with the folder would load.
struct LoadedFolder {
  std::unique_ptr<Catalog> catalog;
  std::vector<RejectedChange> rejected_changes;
  std::vector<FollowerMessage> messages;
  std::uint64_t changes_bytes = 0;  // size of the accepted batches in the file of changes
};
LoadedFolder load_folder(const std::string& folder, const CatalogLimits& limits);

// Reads the lines of a file of entries or changes, without empty ones, and checks that each can be decoded.
// Throws CatalogFileError with the number of an invalid line.
std::string read_lines(const std::string& path);

// Writes a snapshot with these entries and keeps the previous one as NAME.1. Throws CatalogFileError.
void write_snapshot(const std::string& folder, Version version, HistoryDigest history,
                    const std::string& lines);
// All entries of a catalog as sorted lines.
std::string encode_entries(const Catalog& catalog);

// Appends batches with these changes after the last complete batch and overwrites a torn batch there. Returns
// the version of the last change. Throws CatalogFileError if a file of the folder can't be written or would
// be rejected as a whole.
Version append_changes(const std::string& folder, std::uint64_t epoch, const std::string& lines,
                       const CatalogLimits& limits);

}  // namespace damsonspoke::catalog

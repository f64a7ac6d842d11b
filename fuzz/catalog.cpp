// Lines of the catalog's files: each decoded change survives encoding and decoding, and no change leaves a
// catalog whose sums differ from those of its entries.
#include "catalog/catalog.h"

#include <cmath>
#include <cstdlib>
#include <string_view>

#include "catalog/codec.h"

namespace {

using namespace damsonspoke::catalog;

std::string_view without_end(std::string_view line) { return line.substr(0, line.size() - 1); }

void read(Catalog& catalog, std::string_view line) {
  try {
    const Change change = decode_change(line);
    const std::string again = encode_change(change);
    if (describe(decode_change(without_end(again))) != describe(change)) std::abort();
    static_cast<void>(catalog.apply(change));  // accepted or rejected, the sums must stay right
  } catch (const CodecError&) {
    return;
  }
  double quotas = 0;
  double priority_weight = 0;
  catalog.tenant_names().visit(0, catalog.tenant_names().cells(), [&](std::string_view name, int position) {
    if (catalog.find_tenant(name) != position) std::abort();
    quotas += catalog.tenant(position).quota_per_second;
  });
  catalog.route_names().visit(0, catalog.route_names().cells(), [&](std::string_view name, int position) {
    if (catalog.find_route(name) != position || catalog.route(position).timeout <= 0) std::abort();
    priority_weight = std::max(priority_weight, catalog.route(position).priority_weight);
  });
  if (std::abs(quotas - catalog.total_quota_per_second()) > 1e-3 ||
      priority_weight != catalog.highest_priority_weight())
    std::abort();
}

void read_headers(std::string_view line) {
  try {
    const BatchHeader header = decode_batch_header(line);
    if (header.first_sequence == 0 || header.last_sequence < header.first_sequence) std::abort();
    if (decode_batch_header(without_end(encode_header(header))).history_after != header.history_after)
      std::abort();
  } catch (const CodecError&) {
  }
  try {
    const SnapshotHeader header = decode_snapshot_header(line);
    if (decode_snapshot_header(without_end(encode_header(header))).version != header.version) std::abort();
  } catch (const CodecError&) {
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  Catalog catalog({4, 4, true}, 1);
  std::string_view text(reinterpret_cast<const char*>(data), size);
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    read(catalog, text.substr(0, end));
    read_headers(text.substr(0, end));
    text.remove_prefix(std::min(text.size(), end + 1));
  }
  return 0;
}

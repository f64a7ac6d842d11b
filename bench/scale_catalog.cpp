// The admission decisions and the catalog alone, in this process: processor time and memory by the number of
// routes and tenants.
#include <fmt/format.h>

#include <filesystem>
#include <fstream>

#include "catalog/folder.h"
#include "decision_load.h"
#include "fleet.h"
#include "scale.h"
#include "settings/config.h"
#include "synthetic_site.h"

namespace damsonspoke::bench {
namespace {

using namespace standins;

constexpr std::uint64_t kRequests = 20000;
constexpr SiteSize kFullSize{44000, 960000};
constexpr catalog::CatalogLimits kLimits{50000, 1000000, true};
constexpr std::size_t kChanges = 10000;

double us_per_request(const ScaleOptions& options, SiteSize size) {
  std::vector<double> trials;
  const StartSettings site = synthetic_site(size);
  const auto catalog = catalog::Catalog::from_settings(site, {}, options.seed);
  for (int i = 0; i < options.rounds; ++i) {
    DecisionLoadOptions load;
    load.requests = kRequests;
    load.seed = options.seed + static_cast<std::uint64_t>(i);
    load.directory = catalog.get();
    trials.push_back(play_decisions(site.admission, load).us_per_request(kRequests));
  }
  fmt::print("  {:>6} routes, {:>7} tenants: {:>7.2f} us per request ({:.2f} to {:.2f})\n", size.routes,
             size.tenants, median(trials), quantile(trials, 0), quantile(trials, 1));
  return median(trials);
}

std::string entries_of(SiteSize size) {
  std::string lines;
  for (std::size_t i = 0; i < size.routes; ++i)
    lines += encode_change(catalog::PutRoute{route_name(i), synthetic_route(i)});
  for (std::size_t i = 0; i < size.tenants; ++i)
    lines += encode_change(catalog::PutTenant{tenant_name(i), {synthetic_quota(size.tenants), 0}});
  return lines;
}

struct SnapshotRead {
  double seconds = 0, bytes = 0;
};

SnapshotRead read_snapshot(const std::string& folder, SiteSize size) {
  catalog::write_snapshot(folder, {1, 1}, 1, entries_of(size));
  const double began = thread_processor_time();
  const catalog::LoadedFolder loaded = catalog::load_folder(folder, kLimits);
  return {thread_processor_time() - began, static_cast<double>(loaded.catalog->memory_bytes())};
}

// Applies changes to a catalog of full size, in steps as a backend does.
void measure_changes(const std::string& folder, Figures& figures) {
  std::string lines;
  for (std::size_t i = 0; i < kChanges; ++i)
    lines += encode_change(
        catalog::PutTenant{tenant_name(i * 97 % kFullSize.tenants), {static_cast<double>(i), 0}});
  catalog::append_changes(folder, 1, lines, kLimits);
  catalog::Catalog catalog(kLimits, 1);
  catalog::FolderSource source(folder);
  catalog::Follower follower(catalog, source, [] { return thread_processor_time(); });
  follower.poll();
  double longest_change_step = 0, longest_snapshot_step = 0, spent = 0;
  for (auto state = catalog::Follower::State::kWorking; state != catalog::Follower::State::kIdle;) {
    const bool is_applying_changes = follower.counts().snapshots > 0;
    const double began = thread_processor_time();
    state = follower.step(0.0005);
    const double took = thread_processor_time() - began;
    if (is_applying_changes) spent += took;
    (is_applying_changes ? longest_change_step : longest_snapshot_step) =
        std::max(is_applying_changes ? longest_change_step : longest_snapshot_step, took);
  }
  const double us = spent * 1e6 / static_cast<double>(follower.counts().applied);
  fmt::print("  {} changes at full size: {:.2f} us each, longest step {:.2f} ms; of the snapshot {:.2f} ms\n",
             follower.counts().applied, us, longest_change_step * 1000, longest_snapshot_step * 1000);
  figures["change_cpu_us"] = us;
  figures["lost_changes"] = static_cast<double>(kChanges - follower.counts().applied);
  figures["longest_step_ms"] = 1000 * std::max(longest_change_step, longest_snapshot_step);
}

void measure_configurations() {
  fmt::print("Parsing the platform's configuration:\n");
  std::vector<std::pair<double, double>> points;
  for (const SiteSize size : std::vector<SiteSize>{{44, 9600}, {44, 48000}, {44, 96000}, {44, 240000}}) {
    const std::string text = synthetic_config(size);
    const double began = thread_processor_time();
    static_cast<void>(parse_config(text));
    const double took = thread_processor_time() - began;
    fmt::print("  {:>6} tenants, {:>9} bytes: {:.3f} s\n", size.tenants, text.size(), took);
    points.emplace_back(static_cast<double>(size.tenants), took);
  }
  print_forecast("seconds", "s", points);
}

}  // namespace

void measure_decisions(const ScaleOptions& options, Figures& figures) {
  fmt::print("Decisions alone, {} requests spread evenly over all routes and tenants, {} trials:\n",
             kRequests, options.rounds);
  for (const std::size_t tenants :
       {std::size_t{100}, std::size_t{9600}, std::size_t{96000}, std::size_t{960000}})
    figures[fmt::format("us_per_op_tenants_{}", tenants)] = us_per_request(options, {44, tenants});
  for (const std::size_t routes : {std::size_t{440}, std::size_t{4400}, std::size_t{44000}})
    figures[fmt::format("us_per_op_routes_{}", routes)] = us_per_request(options, {routes, 100});
  figures["us_per_op_whole"] = us_per_request(options, kFullSize);
}

void measure_catalog(const ScaleOptions& options, Figures& figures) {
  measure_configurations();
  const TemporaryFolder folder;
  fmt::print("Reading a complete snapshot:\n");
  std::vector<std::pair<double, double>> seconds, bytes;
  for (const std::size_t divisor : {std::size_t{100}, std::size_t{10}, std::size_t{3}, std::size_t{1}}) {
    const SiteSize size{kFullSize.routes / divisor, kFullSize.tenants / divisor};
    std::vector<double> took;
    SnapshotRead read;
    for (int i = 0; i < options.rounds; ++i) {
      read = read_snapshot(folder.path("."), size);
      took.push_back(read.seconds);
    }
    fmt::print("  {:>6} routes, {:>7} tenants: {:.3f} s of processor time, {:.1f} MB in memory\n",
               size.routes, size.tenants, median(took), read.bytes / 1e6);
    seconds.emplace_back(static_cast<double>(size.tenants), median(took));
    bytes.emplace_back(static_cast<double>(size.tenants), read.bytes);
  }
  print_forecast("seconds", "s", seconds);
  print_forecast("bytes", "bytes", bytes);
  figures["snapshot_cpu_s"] = seconds.back().second;
  figures["mb_in_force"] = bytes.back().second / 1e6;
  figures["bytes_per_tenant"] =
      (bytes.back().second - bytes.front().second) / (bytes.back().first - bytes.front().first);
  measure_changes(folder.path("."), figures);
}

}  // namespace damsonspoke::bench

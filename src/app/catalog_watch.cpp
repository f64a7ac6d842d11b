#include "app/catalog_watch.h"

#include <fmt/format.h>

#include <random>
#include <stdexcept>

namespace damsonspoke {
namespace {

constexpr double kStepSeconds = 0.0005;   // limits the time for which a step blocks the reactor
constexpr double kPauseSeconds = 0.0005;  // between two steps, so that half of the time is left to other work
constexpr double kStartStepSeconds = 0.1;
constexpr double kChunkTimeoutSeconds = 2;  // for reading one chunk at start-up
constexpr double kMicrosecondsPerSecond = 1e6;

std::uint64_t random_key() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

}  // namespace

CatalogWatch::CatalogWatch(net::Reactor& reactor, const ProcessConfig& process_config, Counters& counters,
                           Logger& log)
    : reactor_(reactor), counters_(counters), log_(log), folder_(process_config.options.catalog.folder) {
  catalog::CatalogLimits limits;
  if (!folder_.empty()) {
    limits.routes = process_config.options.catalog.routes;
    limits.tenants = process_config.options.catalog.tenants;
  }
  limits.allows_keyed_routes = process_config.options.results.enabled;
  catalog_ = catalog::Catalog::from_settings(process_config.config.site, limits, random_key());
  if (folder_.empty()) return;
  source_ = std::make_unique<catalog::ThreadedSource>(
      std::make_unique<catalog::FolderSource>(folder_),
      [this] { reactor_.post_from_other_thread([this] { step(); }); });
  follower_ = std::make_unique<catalog::Follower>(*catalog_, *source_, net::monotonic_now);
  load_at_start();
}

CatalogWatch::~CatalogWatch() {
  source_.reset();  // stops its thread, which posts to the reactor
  reactor_.cancel(timer_);
}

void CatalogWatch::load_at_start() {
  const double begin = net::monotonic_now();
  follower_->poll();
  while (follower_->state() != catalog::Follower::State::kIdle) {
    if (follower_->step(kStartStepSeconds) != catalog::Follower::State::kWaiting) continue;
    if (source_->wait(kChunkTimeoutSeconds)) continue;
    log_.error("catalog", "folder '{}' does not respond: starts with the part of the catalog that was read",
               folder_);
    break;
  }
  log_messages();
  log_.info("catalog", "catalog loaded: version {}.{}, {} routes, {} tenants, read in {:.3f} s",
            catalog_->version().epoch, catalog_->version().sequence, catalog_->route_count(),
            catalog_->tenant_count(), net::monotonic_now() - begin);
}

void CatalogWatch::poll() {
  if (follower_ == nullptr) return;
  if (!poll_requested_at_) poll_requested_at_ = net::monotonic_now();
  const bool was_idle = follower_->state() == catalog::Follower::State::kIdle;
  follower_->poll();
  if (was_idle) step();
}

void CatalogWatch::step() {
  const double begin = net::monotonic_now();
  const catalog::Follower::State state = follower_->step(kStepSeconds);
  counters_.update_max(Count::kCatalogMaxStepUs,
                       static_cast<std::uint64_t>((net::monotonic_now() - begin) * kMicrosecondsPerSecond));
  log_messages();
  reactor_.cancel(timer_);
  if (state == catalog::Follower::State::kWorking) timer_ = reactor_.after(kPauseSeconds, [this] { step(); });
  if (state != catalog::Follower::State::kIdle || !poll_requested_at_) return;
  log_.info("catalog", "version {}.{} active {:.3f} s after the reload request", catalog_->version().epoch,
            catalog_->version().sequence, net::monotonic_now() - *poll_requested_at_);
  poll_requested_at_.reset();
}

void CatalogWatch::log_messages() {
  for (const catalog::FollowerMessage& message : follower_->take_messages()) {
    if (message.is_error) {
      log_.warn("catalog", "{}", message.text);
    } else {
      log_.info("catalog", "{}", message.text);
    }
  }
}

void CatalogWatch::report() {
  if (follower_ == nullptr) return;
  const catalog::FollowerCounts& counts = follower_->counts();
  counters_.set(Count::kCatalogEpoch, catalog_->version().epoch);
  counters_.set(Count::kCatalogSequence, catalog_->version().sequence);
  counters_.set(Count::kCatalogRoutes, catalog_->route_count());
  counters_.set(Count::kCatalogTenants, catalog_->tenant_count());
  counters_.set(Count::kCatalogBytes, catalog_->memory_bytes());
  counters_.set(Count::kCatalogApplied, counts.applied);
  counters_.set(Count::kCatalogRejected, counts.rejected);
  counters_.set(Count::kCatalogSnapshots, counts.snapshots);
}

void CatalogWatch::register_command(control::Server& control) {
  control.add_handler("catalog", [this](const std::vector<std::string>&) {
    if (follower_ == nullptr)
      throw std::runtime_error("the catalog is off: no 'folder' in section 'catalog' of the operators' file");
    return describe_status();
  });
}

std::string CatalogWatch::describe_status() const {
  const catalog::Version version = catalog_->version();
  const catalog::FollowerCounts& counts = follower_->counts();
  std::string text = fmt::format(
      "version {}.{}, active for {:.1f} s\n{} routes, {} tenants, {} bytes\n"
      "{} changes and {} snapshots applied, {} rejected; {} bytes of changes read\n",
      version.epoch, version.sequence, net::monotonic_now() - follower_->active_since(),
      catalog_->route_count(), catalog_->tenant_count(), catalog_->memory_bytes(), counts.applied,
      counts.snapshots, counts.rejected, follower_->changes_offset());
  if (follower_->state() != catalog::Follower::State::kIdle) text += "reading the files now\n";
  for (const catalog::RejectedChange& rejected : follower_->rejected_changes())
    text += fmt::format("rejected: {}: {}\n", rejected.what, rejected.reason);
  return text;
}

}  // namespace damsonspoke

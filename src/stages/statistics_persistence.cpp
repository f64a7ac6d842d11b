#include "stages/statistics_persistence.h"

#include <utility>

#include "stages/admission_driver.h"

namespace damsonspoke::stages {
namespace {

constexpr double kReadTimeoutSeconds = 0.25;  // bounds how long a folder that hangs delays the start
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

StatisticsPersistence::StatisticsPersistence(net::Reactor& reactor, const AdmissionDriver& admission,
                                             const StartSettings& site, std::string server_name,
                                             const StatisticsPersistenceOptions& options, Counters& counters,
                                             Logger& log)
    : reactor_(reactor),
      admission_(admission),
      site_(site),
      server_name_(std::move(server_name)),
      options_(options),
      counters_(counters),
      log_(log) {
  if (!is_enabled()) return;
  store_ = std::make_unique<statistics::StatisticsStore>(
      [path = options_.folder] { return store::open_folder(path); });
}

StatisticsPersistence::~StatisticsPersistence() { reactor_.cancel(timer_); }

void StatisticsPersistence::wait_for_record() {
  if (is_enabled()) store_->wait_for_read(kReadTimeoutSeconds);
}

LearnedStatistics StatisticsPersistence::take_prior() {
  if (!is_enabled()) return {};
  started_at_ = net::monotonic_now();
  timer_ = reactor_.after(options_.interval, [this] { run_periodically(); });
  const std::optional<statistics::RecordReadResult> read_result = store_->take_read_result();
  if (!read_result) {
    log_.warn("knowledge", "record not read in time, starting without learned statistics");
    return {};
  }
  if (!read_result->record) {
    log_.event(Level::kInfo, "knowledge", "starting without learned statistics",
               {{"why", text_of(read_result->problem)}});
    return {};
  }
  statistics::Prior prior = derive_prior(*read_result);
  if (!prior.is_usable) return {};
  store_->begin_trial(read_result->failed_starts + 1);
  counters_.add(Count::kStatisticsRestored);
  log_.event(Level::kInfo, "knowledge", "starting with learned statistics",
             {{"age_s", net::unix_now() - read_result->record->written_at},
              {"share", prior.weight_share},
              {"generation", read_result->is_previous ? "previous" : "newest"}});
  return std::move(prior.statistics);
}

statistics::Prior StatisticsPersistence::derive_prior(const statistics::RecordReadResult& read_result) {
  const statistics::PriorOptions options{options_.half_life, options_.max_age, options_.weight};
  statistics::Prior prior = statistics::derive_prior(*read_result.record, site_, net::unix_now(),
                                                     read_result.failed_starts, options);
  for (const statistics::RejectedPart& rejected : prior.rejected)
    log_.event(Level::kInfo, "knowledge", "learned statistics rejected", {{"why", text_of(rejected)}});
  return prior;
}

void StatisticsPersistence::run_periodically() {
  write_record();
  report_write_error();
  timer_ = reactor_.after(options_.interval, [this] { run_periodically(); });
}

void StatisticsPersistence::report_write_error() {
  const std::optional<std::string> error = store_->take_write_error();
  if (!error) return;
  if (error->empty()) {
    log_.info("knowledge", "writing the record succeeds again");
  } else {
    log_.event(Level::kWarning, "knowledge", "record not written", {{"why", *error}});
  }
}

// Statistics that were learned under pressure do not replace an earlier record. A server that has run for an
// interval, or is asked to shut down, has not failed because of its prior, so its trial ends.
void StatisticsPersistence::write_record() {
  if (is_draining_ || !admission_.is_started()) return;
  const double began = net::monotonic_now();
  const LearnedStatistics learned = admission_.learned();
  store_->end_trial();
  if (learned.under_pressure) {
    counters_.add(Count::kStatisticsSkipped);
  } else {
    store_->write(
        encode(statistics::make_record(learned, site_, server_name_, net::unix_now(), began - started_at_)));
    counters_.add(Count::kStatisticsWrites);
  }
  const double microseconds = (net::monotonic_now() - began) * kMicrosecondsPerSecond;
  counters_.update_max(Count::kStatisticsMaxWriteUs, static_cast<std::uint64_t>(microseconds));
}

void StatisticsPersistence::on_drain() {
  if (!is_enabled()) return;
  write_record();
  is_draining_ = true;
}

}  // namespace damsonspoke::stages

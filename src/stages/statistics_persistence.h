// Persists learned statistics across restarts: derives the prior from the stored record at the start, and
// writes a record at each interval and when graceful shutdown begins. Does nothing if it is disabled.
#pragma once

#include <memory>
#include <string>

#include "admission/learned_statistics.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "settings/operator_file.h"
#include "settings/settings.h"
#include "statistics/prior.h"
#include "statistics/statistics_store.h"

namespace damsonspoke::stages {

class AdmissionDriver;

class StatisticsPersistence {
 public:
  StatisticsPersistence(net::Reactor& reactor, const AdmissionDriver& admission, const StartSettings& site,
                        std::string server_name, const StatisticsPersistenceOptions& options,
                        Counters& counters, Logger& log);
  ~StatisticsPersistence();
  StatisticsPersistence(const StatisticsPersistence&) = delete;
  StatisticsPersistence& operator=(const StatisticsPersistence&) = delete;

  [[nodiscard]] bool is_enabled() const { return options_.enabled; }
  // Waits for a short time until the record has been read. To be called before the reactor runs.
  void wait_for_record();
  // Returns the prior for the controller, which is about to start; empty if there is none. Never waits: a
  // record that has not been read by then is not used.
  LearnedStatistics take_prior();
  // Writes the last record. Called when graceful shutdown begins.
  void on_drain();

 private:
  statistics::Prior derive_prior(const statistics::RecordReadResult& read_result);
  void run_periodically();
  void write_record();
  void report_write_error();

  net::Reactor& reactor_;
  const AdmissionDriver& admission_;
  const StartSettings& site_;
  const std::string server_name_;
  const StatisticsPersistenceOptions options_;
  Counters& counters_;
  Logger& log_;
  double started_at_ = -1;  // of the controller; monotonic seconds
  bool is_draining_ = false;
  net::Reactor::TimerId timer_;
  std::unique_ptr<statistics::StatisticsStore> store_;  // null if disabled
};

}  // namespace damsonspoke::stages

// Hands learned statistics to this server's successor: a prior at the start, a record at each interval, and
// the last one when graceful shutdown begins. Does nothing where it is off.
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
  // Before the reactor runs: waits a short time for the record to be read.
  void wait_for_record();
  // As the controller begins: the prior with which it starts; empty where there is none. Never waits: a
  // record that has not been read by then is not used.
  LearnedStatistics take_prior();
  // Graceful shutdown begins: writes the last record.
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
  double began_at_ = -1;  // monotonic seconds
  bool is_draining_ = false;
  net::Reactor::TimerId timer_;
  std::unique_ptr<statistics::StatisticsStore> store_;  // null where it is off
};

}  // namespace damsonspoke::stages

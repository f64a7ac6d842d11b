// What is learned goes to a successor: the prior at the start, a record now and then, the last one at the
// notice to leave. With knowledge off it does nothing.
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
                        std::string name, const KnowledgeOptions& options, Counters& counters, Logger& log);
  ~StatisticsPersistence();

  bool on() const { return options_.enabled; }
  // Before the reactor turns: a short time for the folder to be read.
  void get_ready();
  // As the module's life begins: what it may start with. Never waits: what has not been read by then is not
  // used.
  LearnedStatistics prior();
  void leaving();  // a last record, and nothing after it

 private:
  void look();
  void write();

  net::Reactor& reactor_;
  const AdmissionDriver& admission_;
  const StartSettings& site_;
  const std::string name_;
  const KnowledgeOptions options_;
  Counters& counters_;
  Logger& log_;
  double began_ = -1;  // monotonic s
  bool left_ = false;
  net::Reactor::TimerId timer_;
  std::unique_ptr<statistics::StatisticsStore> keeper_;
};

}  // namespace damsonspoke::stages

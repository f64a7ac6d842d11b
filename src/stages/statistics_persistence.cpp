#include "stages/statistics_persistence.h"

#include "stages/admission_driver.h"

namespace damsonspoke::stages {

StatisticsPersistence::StatisticsPersistence(net::Reactor& reactor, const AdmissionDriver& admission,
                                             const StartSettings& site, std::string name,
                                             const KnowledgeOptions& options, Counters& counters, Logger& log)
    : reactor_(reactor),
      admission_(admission),
      site_(site),
      name_(std::move(name)),
      options_(options),
      counters_(counters),
      log_(log) {
  if (on())
    keeper_ = std::make_unique<statistics::StatisticsStore>(
        [path = options_.folder] { return store::open_folder(path); });
}

StatisticsPersistence::~StatisticsPersistence() { reactor_.cancel(timer_); }

void StatisticsPersistence::get_ready() {
  constexpr double kPatience = 0.25;  // s; a folder that hangs costs a start no more than this
  if (on()) keeper_->wait_for_reading(kPatience);
}

LearnedStatistics StatisticsPersistence::prior() {
  if (!on()) return {};
  began_ = net::monotonic_now();
  timer_ = reactor_.after(options_.interval, [this] { look(); });
  const std::optional<statistics::Reading> reading = keeper_->take_reading();
  if (!reading) {
    log_.warn("knowledge", "not read in time, starts without");
    return {};
  }
  if (!reading->record) {
    log_.event(Level::kInfo, "knowledge", "starts without", {{"why", reading->problem}});
    return {};
  }
  const statistics::PriorOptions terms{options_.half_life, options_.max_age, options_.weight};
  statistics::Prior belief = derive_prior(*reading->record, site_, net::unix_now(), reading->starts, terms);
  for (const std::string& reason : belief.reasons)
    log_.event(Level::kInfo, "knowledge", "not believed", {{"why", reason}});
  if (!belief.any) return {};
  keeper_->begins(reading->starts + 1);
  counters_.add(Count::kKnowledgeUsed);
  log_.event(Level::kInfo, "knowledge", "starts with what was learned",
             {{"age_s", net::unix_now() - reading->record->written},
              {"share", belief.share},
              {"generation", reading->older ? "the one before" : "newest"}});
  return std::move(belief.prior);
}

void StatisticsPersistence::look() {
  write();
  if (std::optional<std::string> trouble = keeper_->take_trouble()) {
    trouble->empty() ? log_.info("knowledge", "written again")
                     : log_.event(Level::kWarning, "knowledge", "not written", {{"why", *trouble}});
  }
  timer_ = reactor_.after(options_.interval, [this] { look(); });
}

// What is learned in a bad spell does not push out what was learned before it. A life that has lasted an
// interval, or is told to leave, has not died of what it began with.
void StatisticsPersistence::write() {
  if (left_ || !admission_.begun()) return;
  const double begin = net::monotonic_now();
  const LearnedStatistics learned = admission_.learned();
  keeper_->came_through();
  if (learned.under_pressure) {
    counters_.add(Count::kKnowledgeSkipped);
  } else {
    keeper_->write(encode(statistics::record_of(learned, site_, name_, net::unix_now(), begin - began_)));
    counters_.add(Count::kKnowledgeWrites);
  }
  counters_.most(Count::kKnowledgeMostUs, static_cast<std::uint64_t>((net::monotonic_now() - begin) * 1e6));
}

void StatisticsPersistence::leaving() {
  if (!on()) return;
  write();
  left_ = true;
}

}  // namespace damsonspoke::stages

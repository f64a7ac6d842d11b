// Learned statistics on disk: crashes while a record is written, priors derived from records, and corrupt or
// foreign files. CTest compares the output with tests/traces/knowledge_NAME.txt. usage: learned_statistics
// SCENARIO
#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <limits>
#include <thread>

#include "recording_folder.h"
#include "statistics/prior.h"
#include "statistics/statistics_store.h"

using namespace damsonspoke;
using namespace damsonspoke::statistics;
using testing::RecordingFolder;

namespace {

LearnedDurations durations_in_bin(std::size_t bin, double count) {
  LearnedDurations out;
  out.bins.assign(13, 0);
  out.bins[bin] = count;
  out.sum = count * 0.005 * std::exp2(static_cast<double>(bin)) * 0.75;
  return out;
}

StartSettings site() {
  StartSettings s;
  Route push;
  push.latency_objective = 1;
  push.timeout = 2;
  push.calls_dependency = true;
  Route pull;
  pull.latency_objective = 0.5;
  pull.timeout = 2;
  s.admission.routes = {push, pull};
  s.admission.cores = 2;
  s.admission.dependency = DependencyKind::kShared;
  s.admission.caller_idle_timeout = 10;
  s.route_names = {"push", "pull"};
  return s;
}

StatisticsRecord valid_record(double written = 1000) {
  LearnedStatistics learned;
  learned.routes = {{durations_in_bin(5, 20), durations_in_bin(3, 20)},
                    {durations_in_bin(4, 8), durations_in_bin(0, 0)}};
  learned.routes[1].call.sum = 0;
  learned.calls = durations_in_bin(3, 20);
  learned.returning_share = 0.4;
  return make_record(learned, site(), "n1", written, 60);
}

constexpr PriorOptions kOptions{43200, 259200, 4};

double count_of(const LearnedDurations& t) {
  double n = 0;
  for (const double b : t.bins) n += b;
  return n;
}

// ---- Crashes.

struct Recorded {
  std::vector<RecordingFolder::Step> steps;
  std::vector<std::pair<std::size_t, double>> acknowledged;  // steps up to each write, and its record
};

Recorded write_records() {
  RecordingFolder folder;
  StatisticsFolder files(folder);
  Recorded out;
  for (int i = 1; i <= 40; ++i) {
    if (i % 7 == 0) files.begin_trial(1);
    if (i % 7 == 2) files.end_trial();
    if (files.write(valid_record(i))) out.acknowledged.emplace_back(folder.steps().size(), i);
  }
  out.steps = folder.steps();
  return out;
}

class CrashReport {
 public:
  explicit CrashReport(const Recorded& recorded) : recorded_(recorded) {}

  // Checks the files after a crash behind `count` steps, of which `returned` had returned to their caller.
  void check(std::size_t count, std::size_t returned, RecordingFolder::Files files) {
    ++crashes_;
    double last = 0;
    for (const auto& [steps, written_at] : recorded_.acknowledged) {
      if (steps <= returned) last = written_at;
    }
    RecordingFolder folder(std::move(files));
    const RecordReadResult read_result = StatisticsFolder(folder).read();
    const double found = read_result.record ? read_result.record->written_at : 0;
    const bool is_intact = !read_result.record || encode(*read_result.record) == encode(valid_record(found));
    if (!is_intact || found > last + 1) ++invalid_;
    if (is_intact && found < last) ++(found == 0 ? none_ : older_);
    const bool is_failure = !is_intact || found > last + 1 || found < last;
    if (!is_failure || !first_failure_.empty()) return;
    first_failure_ = "after step " + std::to_string(count) + ": read " + std::to_string(found) + ", but " +
                     std::to_string(last) + " was acknowledged, " + std::string(text_of(read_result.problem));
  }

  void print() const {
    std::printf("crash points over 10000: %s\n", crashes_ > 10000 ? "yes" : "no");
    std::printf("invalid records %d, older than acknowledged %d, acknowledged but missing %d\n", invalid_,
                older_, none_);
    if (!first_failure_.empty()) std::printf("  %s\n", first_failure_.c_str());
  }

 private:
  const Recorded& recorded_;
  int crashes_ = 0;
  int invalid_ = 0;
  int older_ = 0;
  int none_ = 0;
  std::string first_failure_;
};

void crash() {
  const Recorded recorded = write_records();
  const std::vector<RecordingFolder::Step>& steps = recorded.steps;
  CrashReport report(recorded);
  pcg32 random(3);
  for (std::size_t count = 0; count <= steps.size(); ++count) {
    report.check(count, count, RecordingFolder::after_kill(steps, count, std::string::npos));
    for (int i = 0; i < 8 && count > 0; ++i) {
      const std::size_t bytes = random() % (steps[count - 1].bytes.size() + 1);
      report.check(count, count - 1, RecordingFolder::after_kill(steps, count, bytes));
    }
    for (std::uint64_t seed = 1; seed <= 48; ++seed)
      report.check(count, count, RecordingFolder::after_power_cut(steps, count, seed * 100000 + count));
  }
  report.print();
}

// ---- Priors.

void print_prior(const char* name, const StatisticsRecord& record, double now, int failed_starts = 0,
                 const StartSettings& settings = site(), const PriorOptions& options = kOptions) {
  const Prior prior = derive_prior(record, settings, now, failed_starts, options);
  std::printf("%-28s usable %-3s share %.2f", name, prior.is_usable ? "yes" : "no", prior.weight_share);
  for (const auto& route : prior.statistics.routes) std::printf(", run %.2f values", count_of(route.run));
  if (prior.statistics.returning_share >= 0) std::printf(", returns %.2f", prior.statistics.returning_share);
  for (const RejectedPart& rejected : prior.rejected) std::printf("\n  %s", text_of(rejected).c_str());
  std::printf("\n");
}

void print_age_and_settings_cases() {
  print_prior("just now", valid_record(), 1000);
  print_prior("half a day old", valid_record(), 1000 + 43200);
  print_prior("last week", valid_record(), 1000 + 7 * 86400.0);
  print_prior("last week, long half-life", valid_record(), 1000 + 7 * 86400.0, 0, site(), {1e9, 259200, 4});
  print_prior("last week, no maximum age", valid_record(), 1000 + 7 * 86400.0, 0, site(), {43200, 1e9, 4});
  print_prior("from the future", valid_record(), 900);
  print_prior("a small clock difference", valid_record(), 997);
  StatisticsRecord record = valid_record();
  record.under_pressure = true;
  print_prior("learned under pressure", record, 1000);
  print_prior("one failed start", valid_record(), 1000, 1);
  print_prior("two failed starts", valid_record(), 1000, 2);
  StartSettings other = site();
  other.admission.cores = 8;
  print_prior("another number of cores", valid_record(), 1000, 0, other);
  other = site();
  other.admission.routes[0].latency_objective = 3;
  print_prior("a changed latency objective", valid_record(), 1000, 0, other);
  other = site();
  other.route_names[1] = "poll";
  print_prior("a new route", valid_record(), 1000, 0, other);
  other = site();
  other.admission.dependency = DependencyKind::kOff;
  print_prior("no dependency any more", valid_record(), 1000, 0, other);
}

void print_implausible_cases() {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const auto& [what, value] : {std::pair{"a count that is not a number", nan},
                                    std::pair{"a negative count", -1.0}, std::pair{"a huge count", 1e18}}) {
    StatisticsRecord record = valid_record();
    record.routes[0].run.bins[2] = value;
    print_prior(what, record, 1000);
  }
  StatisticsRecord record = valid_record();
  record.routes[0].run = durations_in_bin(5, 2);
  print_prior("two values only", record, 1000);
  record = valid_record();
  record.routes[0].run.sum = 1e9;
  print_prior("a sum that is too large", record, 1000);
  record = valid_record();
  record.routes[0].run.sum = 0;
  print_prior("a sum that is too small", record, 1000);
  record = valid_record();
  record.routes[1].run.bins.resize(5);
  print_prior("too few bins", record, 1000);
  record = valid_record();
  record.written_at = nan;
  print_prior("no write time", record, 1000);
}

void cases() {
  print_age_and_settings_cases();
  print_implausible_cases();
}

// Random records, intact and corrupted.
class RandomRecords {
 public:
  explicit RandomRecords(std::uint64_t seed) : random_(seed) {}

  StatisticsRecord next() {
    StatisticsRecord record = valid_record(1000);
    for (RouteRecord& route : record.routes) {
      route.run = durations_in_bin(random_() % 13, uniform() * 63);
      route.call = durations_in_bin(random_() % 13, uniform() * 20);
    }
    for (int corruptions = static_cast<int>(random_() % 3); corruptions > 0; --corruptions)
      corrupt(durations_of(record));
    record.returning_share = uniform() * 3 - 1;
    return record;
  }

 private:
  double uniform() { return random_() / 4294967296.0; }

  LearnedDurations& durations_of(StatisticsRecord& record) {
    if (random_() % 2 == 1) return record.routes[random_() % 2].run;
    if (random_() % 2 == 1) return record.routes[random_() % 2].call;
    return record.calls;
  }

  void corrupt(LearnedDurations& durations) {
    const double negative = -uniform();
    const double huge = uniform() * 1e12;
    const double plausible = uniform() * 64;
    const std::array<double, 6> values = {
        negative, huge,     std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN(),
        0,        plausible};
    const double value = values.at(random_() % values.size());
    if (random_() % 3 == 0) {
      durations.sum = value;
    } else {
      durations.bins[random_() % durations.bins.size()] = value;
    }
  }

  pcg32 random_;
};

// Checks that the weight of a prior never grows with age and never exceeds the evidence, and that no
// implausible value is used.
class PriorProperties {
 public:
  void check(const StatisticsRecord& record) {
    const std::optional<StatisticsRecord> decoded = decode(encode(record));
    if (!decoded || encode(*decoded) != encode(record)) ++lost_;
    double last_weight = 1e9;
    for (const double age : {0.0, 100.0, 3600.0, 40000.0, 100000.0, 250000.0, 400000.0}) {
      const Prior prior = derive_prior(record, site(), 1000 + age, 0, kOptions);
      const double weight = check(prior, record);
      if (weight > last_weight + 1e-9) ++grows_;
      last_weight = weight;
    }
  }

  void print() const {
    std::printf(
        "weight grows with age %d, exceeds the evidence %d, implausible values %d, changed by encoding %d\n",
        grows_, outweighs_, implausible_, lost_);
    std::printf("used and rejected often: %s\n", used_ > 5000 && rejected_ > 5000 ? "yes" : "no");
  }

 private:
  // Returns the weight of all routes.
  double check(const Prior& prior, const StatisticsRecord& record) {
    double weight = 0;
    for (std::size_t i = 0; i < prior.statistics.routes.size(); ++i) {
      weight += check(prior.statistics.routes[i].run, record.routes[i].run);
      weight += check(prior.statistics.routes[i].call, record.routes[i].call);
    }
    const LearnedDurations& calls = prior.statistics.calls;
    if (!calls.bins.empty() && !is_plausible(calls)) ++implausible_;
    if (prior.statistics.returning_share > 1) ++implausible_;
    ++(prior.is_usable ? used_ : rejected_);
    return weight;
  }

  double check(const LearnedDurations& prior, const LearnedDurations& evidence) {
    if (prior.bins.empty()) return 0;
    if (!is_plausible(prior)) ++implausible_;
    if (count_of(prior) > std::min(kOptions.max_weight, count_of(evidence)) + 1e-9) ++outweighs_;
    return count_of(prior);
  }

  int grows_ = 0;
  int outweighs_ = 0;
  int implausible_ = 0;
  int lost_ = 0;
  int used_ = 0;
  int rejected_ = 0;
};

void properties() {
  RandomRecords records(11);
  PriorProperties result;
  for (int i = 0; i < 4000; ++i) result.check(records.next());
  result.print();
}

// ---- Corrupt and foreign files.

void print_read_result(const char* name, RecordingFolder& folder) {
  const RecordReadResult read_result = StatisticsFolder(folder).read();
  const std::string problem(text_of(read_result.problem));
  std::printf(
      "%-34s %s%s%s", name, read_result.record ? "record of " : "nothing",
      read_result.record ? std::to_string(static_cast<int>(read_result.record->written_at)).c_str() : "",
      read_result.is_previous ? ", previous generation" : "");
  std::printf("%s%s, failed starts %d\n", problem.empty() ? "" : ": ", problem.c_str(),
              read_result.failed_starts);
}

void print_corrupt_files(const RecordingFolder::Files& intact) {
  const auto print_changed = [&](const char* name,
                                 const std::function<void(RecordingFolder::Files&)>& change) {
    RecordingFolder::Files files = intact;
    change(files);
    RecordingFolder folder(files);
    print_read_result(name, folder);
  };
  print_changed("the newest is truncated", [](auto& f) { f["knowledge"].resize(100); });
  print_changed("a flipped bit in the newest", [](auto& f) { f["knowledge"][60] ^= 4; });
  print_changed("both are truncated", [](auto& f) {
    f["knowledge"].resize(20);
    f["knowledge.1"].resize(9);
  });
  print_changed("a file of another program", [](auto& f) {
    f["knowledge"] = "#!/bin/sh\n";
    f.erase("knowledge.1");
  });
  print_changed("a megabyte", [](auto& f) {
    f["knowledge"].assign(1 << 20, 'x');
    f.erase("knowledge.1");
  });
  print_changed("valid checksum, but no record",
                [](auto& f) { f["knowledge"] = store::add_checksum(kRecordFormatVersion, "hello"); });
  print_changed("a newer format", [](auto& f) {
    f["knowledge"] = store::add_checksum(kRecordFormatVersion + 1, "what it knows");
  });
  print_changed("an invalid trial file", [](auto& f) { f["knowledge.trial"] = "many"; });
  print_changed("two failed starts", [](auto& f) { f["knowledge.trial"] = "2"; });
}

void print_newer_format() {
  RecordingFolder newer({{"knowledge", store::add_checksum(kRecordFormatVersion + 1, "what it knows")}});
  StatisticsFolder statistics_folder(newer);
  statistics_folder.write(valid_record(5));
  statistics_folder.write(valid_record(6));
  print_read_result("written over a newer format", newer);
  std::printf(
      "the newer file is preserved: %s\n",
      newer.files().at("knowledge.newer") == store::add_checksum(kRecordFormatVersion + 1, "what it knows")
          ? "yes"
          : "no");
}

void files() {
  RecordingFolder folder;
  StatisticsFolder statistics_folder(folder);
  print_read_result("an empty folder", folder);
  statistics_folder.write(valid_record(1));
  statistics_folder.write(valid_record(2));
  print_read_result("two records", folder);
  print_corrupt_files(folder.files());
  print_newer_format();
  folder.is_full = true;
  std::printf("on a full disk: %s\n", statistics_folder.write(valid_record(3)) ? "written" : "not written");
  print_read_result("after the failed write", folder);
  folder.is_full = false;
  folder.is_locked_elsewhere = true;
  std::printf("while another process holds the lock: %s\n",
              statistics_folder.write(valid_record(4)) ? "written" : "not written");
  folder.is_locked_elsewhere = false;
  statistics_folder.begin_trial(1);
  print_read_result("a trial begins", folder);
  statistics_folder.end_trial();
  print_read_result("the trial ends", folder);
  statistics_folder.remove();
  print_read_result("removed", folder);
}

std::string corrupted(std::string text, pcg32& random) {
  for (unsigned n = 1 + random() % 3; n > 0; --n) {
    const std::size_t position = random() % text.size();
    switch (random() % 4) {
      case 0: text[position] = static_cast<char>(text[position] ^ (1 << random() % 8)); break;
      case 1: text[position] = static_cast<char>(random()); break;
      case 2: text.erase(position, 1 + random() % 8); break;
      default: text.insert(position, 1 + random() % 8, static_cast<char>(random()));
    }
    if (text.empty()) text.assign(1, 'x');
  }
  return text;
}

int implausible_parts(const Prior& prior) {
  int count = 0;
  for (const auto& route : prior.statistics.routes) {
    for (const LearnedDurations* durations : {&route.run, &route.call}) {
      if (!durations->bins.empty() && !is_plausible(*durations)) ++count;
    }
  }
  return count;
}

// A bounded run of the fuzz target: the bytes of a record with random corruptions, as a file and as a record.
void bytes() {
  const std::string record = encode(valid_record());
  const std::string intact_file = store::add_checksum(kRecordFormatVersion, record);
  pcg32 random(17);
  int accepted = 0;
  int decoded = 0;
  int implausible = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::string file = corrupted(intact_file, random);
    const store::ChecksumProblem problem = store::verify_checksum(file, kRecordFormatVersion).problem;
    if (file != intact_file && problem == store::ChecksumProblem::kNone) ++accepted;
    const std::optional<StatisticsRecord> found =
        decode(corrupted(record, random));  // simulates a matching checksum
    if (!found) continue;
    ++decoded;
    implausible += implausible_parts(derive_prior(*found, site(), 1000, 0, kOptions));
  }
  std::printf(
      "of 20000 corrupted files accepted: %d; corrupted records decoded: %s, implausible values used: %d\n",
      accepted, decoded > 1000 ? "many" : "few", implausible);
}

// A folder whose reads hang: the start waits for a quarter of a second and gets no record, and the destructor
// waits for a fifth of a second.
void hangs() {
  struct Hung : RecordingFolder {
    std::optional<std::string> read(const std::string&, std::size_t) override {
      for (;;) std::this_thread::sleep_for(std::chrono::seconds(1));
    }
  };
  using Clock = std::chrono::steady_clock;
  const auto since = [](Clock::time_point from) {
    return std::chrono::duration<double>(Clock::now() - from).count();
  };
  const auto started_at = Clock::now();
  auto statistics_store = std::make_unique<StatisticsStore>([] { return std::make_unique<Hung>(); });
  statistics_store->wait_for_read(0.25);
  std::printf("the start waited a quarter of a second: %s\n",
              since(started_at) >= 0.25 && since(started_at) < 1 ? "yes" : "no");
  std::printf("something was read: %s\n", statistics_store->take_read_result() ? "yes" : "no");
  const std::string bytes = encode(valid_record());
  const auto queued_at = Clock::now();
  for (int i = 0; i < 1000; ++i) statistics_store->write(bytes);
  std::printf("a thousand records queued without waiting: %s\n", since(queued_at) < 0.2 ? "yes" : "no");
  const auto destroyed_at = Clock::now();
  statistics_store.reset();
  std::printf("the destructor waited a fifth of a second: %s\n",
              since(destroyed_at) >= 0.2 && since(destroyed_at) < 1 ? "yes" : "no");
  std::fflush(stdout);
  std::_Exit(0);  // the worker thread hangs forever
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> scenarios[] = {{"crash", crash},           {"cases", cases},
                                                          {"properties", properties}, {"files", files},
                                                          {"bytes", bytes},           {"hangs", hangs}};
  for (const auto& [name, run] : scenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) {
      run();
      return 0;
    }
  }
  std::fprintf(stderr, "usage: learned_statistics SCENARIO\n");
  return 2;
}

// Learned statistics on disk: crashes while a record is written, the prior that a record gives, and corrupt
// or foreign files. CTest compares with tests/traces/knowledge_NAME.txt. usage: learned_statistics SCENARIO
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

LearnedDurations times(std::size_t bin, double count) {
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

StatisticsRecord good(double written = 1000) {
  LearnedStatistics learned;
  learned.routes = {{times(5, 20), times(3, 20)}, {times(4, 8), times(0, 0)}};
  learned.routes[1].away.sum = 0;
  learned.calls = times(3, 20);
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
  std::vector<std::pair<std::size_t, double>> acknowledged;  // steps so far, and the record written last
};

Recorded write_records() {
  RecordingFolder folder;
  StatisticsFolder files(folder);
  Recorded out;
  for (int i = 1; i <= 40; ++i) {
    if (i % 7 == 0) files.begin_trial(1);
    if (i % 7 == 2) files.end_trial();
    if (files.write(good(i))) out.acknowledged.emplace_back(folder.steps().size(), i);
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
    const Reading reading = StatisticsFolder(folder).read();
    const double found = reading.record ? reading.record->written_at : 0;
    const bool is_whole = !reading.record || encode(*reading.record) == encode(good(found));
    if (!is_whole || found > last + 1) ++garbage_;
    if (is_whole && found < last) ++(found == 0 ? none_ : older_);
    const bool is_failure = !is_whole || found > last + 1 || found < last;
    if (!is_failure || !first_failure_.empty()) return;
    first_failure_ = "behind step " + std::to_string(count) + ": " + std::to_string(found) + " where " +
                     std::to_string(last) + " was acknowledged, " + std::string(text_of(reading.problem));
  }

  void print() const {
    std::printf("crash points over 10000: %s\n", crashes_ > 10000 ? "yes" : "no");
    std::printf("garbage %d, acknowledged and an older one found %d, acknowledged and nothing found %d\n",
                garbage_, older_, none_);
    if (!first_failure_.empty()) std::printf("  %s\n", first_failure_.c_str());
  }

 private:
  const Recorded& recorded_;
  int crashes_ = 0;
  int garbage_ = 0;
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

void cases() {
  const auto say = [](const char* what, const StatisticsRecord& record, double now, int starts = 0,
                      const StartSettings& with = site(), const PriorOptions& options = kOptions) {
    const Prior b = derive_prior(record, with, now, starts, options);
    std::printf("%-28s believed %-3s share %.2f", what, b.is_usable ? "yes" : "no", b.weight_share);
    for (const auto& t : b.statistics.routes) std::printf(", run %.2f values", count_of(t.run));
    if (b.statistics.returning_share >= 0) std::printf(", returns %.2f", b.statistics.returning_share);
    for (const RejectedPart& rejected : b.rejected) std::printf("\n  %s", text_of(rejected).c_str());
    std::printf("\n");
  };
  say("just now", good(), 1000);
  say("half a day old", good(), 1000 + 43200);
  say("last week", good(), 1000 + 7 * 86400.0);
  say("last week, slowly believed less", good(), 1000 + 7 * 86400.0, 0, site(), {1e9, 259200, 4});
  say("last week, and no bound", good(), 1000 + 7 * 86400.0, 0, site(), {43200, 1e9, 4});
  say("from the future", good(), 900);
  say("clocks a little apart", good(), 997);
  StatisticsRecord r = good();
  r.under_pressure = true;
  say("a bad spell", r, 1000);
  say("one life lost with it", good(), 1000, 1);
  say("two lives lost with it", good(), 1000, 2);
  StartSettings other = site();
  other.admission.cores = 8;
  say("another machine", good(), 1000, 0, other);
  other = site();
  other.admission.routes[0].latency_objective = 3;
  say("one type's target changed", good(), 1000, 0, other);
  other = site();
  other.route_names[1] = "poll";
  say("another site's types", good(), 1000, 0, other);
  other = site();
  other.admission.dependency = DependencyKind::kOff;
  say("no layer below any more", good(), 1000, 0, other);
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const auto& [what, value] : {std::pair{"a count that is no number", nan},
                                    std::pair{"a negative count", -1.0}, std::pair{"a huge count", 1e18}}) {
    r = good();
    r.routes[0].run.bins[2] = value;
    say(what, r, 1000);
  }
  r = good();
  r.routes[0].run = times(5, 2);
  say("two values only", r, 1000);
  r = good();
  r.routes[0].run.sum = 1e9;
  say("a sum that can't be", r, 1000);
  r = good();
  r.routes[0].run.sum = 0;
  say("a sum that is too small", r, 1000);
  r = good();
  r.routes[1].run.bins.resize(5);
  say("too few bins", r, 1000);
  r = good();
  r.written_at = nan;
  say("no time of writing", r, 1000);
}

// Random records, intact and corrupted.
class RandomRecords {
 public:
  explicit RandomRecords(std::uint64_t seed) : random_(seed) {}

  StatisticsRecord next() {
    StatisticsRecord record = good(1000);
    for (RouteRecord& route : record.routes) {
      route.run = times(random_() % 13, uniform() * 63);
      route.away = times(random_() % 13, uniform() * 20);
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
    if (random_() % 2 == 1) return record.routes[random_() % 2].away;
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

// The weight of a prior never grows with age and never exceeds the evidence, and no implausible value passes.
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
        "grows with age %d, outweighs what was seen %d, senseless %d, lost on the way through CBOR %d\n",
        grows_, outweighs_, implausible_, lost_);
    std::printf("believed and refused often: %s\n", used_ > 5000 && rejected_ > 5000 ? "yes" : "no");
  }

 private:
  // Returns the weight of all routes.
  double check(const Prior& prior, const StatisticsRecord& record) {
    double weight = 0;
    for (std::size_t i = 0; i < prior.statistics.routes.size(); ++i) {
      weight += check(prior.statistics.routes[i].run, record.routes[i].run);
      weight += check(prior.statistics.routes[i].away, record.routes[i].away);
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

void files() {
  const auto say = [](const char* what, RecordingFolder& folder) {
    StatisticsFolder there(folder);
    const Reading read = there.read();
    std::printf("%-34s %s%s%s", what, read.record ? "record of " : "nothing",
                read.record ? std::to_string(static_cast<int>(read.record->written_at)).c_str() : "",
                read.is_previous ? ", the one before" : "");
    const std::string problem(text_of(read.problem));
    std::printf("%s%s, lives lost %d\n", problem.empty() ? "" : ": ", problem.c_str(), read.failed_starts);
  };
  RecordingFolder folder;
  StatisticsFolder mine(folder);
  say("an empty folder", folder);
  mine.write(good(1));
  mine.write(good(2));
  say("two records", folder);
  RecordingFolder::Files kept = folder.files();
  const auto with = [&](const char* what, const std::function<void(RecordingFolder::Files&)>& change) {
    RecordingFolder::Files files = kept;
    change(files);
    RecordingFolder changed(files);
    say(what, changed);
  };
  with("the newest is cut short", [](auto& f) { f["knowledge"].resize(100); });
  with("one bit of the newest", [](auto& f) { f["knowledge"][60] ^= 4; });
  with("both are cut short", [](auto& f) {
    f["knowledge"].resize(20);
    f["knowledge.1"].resize(9);
  });
  with("somebody else's file", [](auto& f) {
    f["knowledge"] = "#!/bin/sh\n";
    f.erase("knowledge.1");
  });
  with("a megabyte", [](auto& f) {
    f["knowledge"].assign(1 << 20, 'x');
    f.erase("knowledge.1");
  });
  with("sealed, and no record",
       [](auto& f) { f["knowledge"] = store::add_checksum(kRecordFormatVersion, "hello"); });
  with("a newer form",
       [](auto& f) { f["knowledge"] = store::add_checksum(kRecordFormatVersion + 1, "what it knows"); });
  with("a trial that can't be read", [](auto& f) { f["knowledge.trial"] = "many"; });
  with("two lives lost", [](auto& f) { f["knowledge.trial"] = "2"; });

  RecordingFolder newer({{"knowledge", store::add_checksum(kRecordFormatVersion + 1, "what it knows")}});
  StatisticsFolder over(newer);
  over.write(good(5));
  over.write(good(6));
  say("written over a newer form", newer);
  std::printf(
      "the newer one is kept: %s\n",
      newer.files().at("knowledge.newer") == store::add_checksum(kRecordFormatVersion + 1, "what it knows")
          ? "yes"
          : "no");

  folder.is_full = true;
  std::printf("on a full disk: %s\n", mine.write(good(3)) ? "written" : "not written");
  say("and then", folder);
  folder.is_full = false;
  folder.is_locked_elsewhere = true;
  std::printf("while another has it: %s\n", mine.write(good(4)) ? "written" : "not written");
  folder.is_locked_elsewhere = false;
  mine.begin_trial(1);
  say("a life begins with it", folder);
  mine.end_trial();
  say("and comes through", folder);
  mine.remove();
  say("forgotten", folder);
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
    for (const LearnedDurations* durations : {&route.run, &route.away}) {
      if (!durations->bins.empty() && !is_plausible(*durations)) ++count;
    }
  }
  return count;
}

// A bounded run of the fuzz target: the bytes of a record, corrupted anywhere, as a file and as a record.
void bytes() {
  const std::string record = encode(good());
  const std::string whole_file = store::add_checksum(kRecordFormatVersion, record);
  pcg32 random(17);
  int passed = 0;
  int decoded = 0;
  int implausible = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::string file = corrupted(whole_file, random);
    const store::ChecksumProblem problem = store::verify_checksum(file, kRecordFormatVersion).problem;
    if (file != whole_file && problem == store::ChecksumProblem::kNone) ++passed;
    const std::optional<StatisticsRecord> found =
        decode(corrupted(record, random));  // as if the checksum matched
    if (!found) continue;
    ++decoded;
    implausible += implausible_parts(derive_prior(*found, site(), 1000, 0, kOptions));
  }
  std::printf(
      "of 20000 spoilt files taken for whole: %d; spoilt records read all the same: %s, senseless believed: "
      "%d\n",
      passed, decoded > 1000 ? "many" : "few", implausible);
}

// A folder whose reads hang: the start waits its quarter of a second, has nothing, and the end waits its
// fifth.
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
  const auto began = Clock::now();
  auto statistics_store = std::make_unique<StatisticsStore>([] { return std::make_unique<Hung>(); });
  statistics_store->wait_for_reading(0.25);
  std::printf("the start waited a quarter of a second: %s\n",
              since(began) >= 0.25 && since(began) < 1 ? "yes" : "no");
  std::printf("something was read: %s\n", statistics_store->take_reading() ? "yes" : "no");
  const std::string bytes = encode(good());
  const auto asked = Clock::now();
  for (int i = 0; i < 1000; ++i) statistics_store->write(bytes);
  std::printf("a thousand records handed over, none waited for: %s\n", since(asked) < 0.2 ? "yes" : "no");
  const auto ending = Clock::now();
  statistics_store.reset();
  std::printf("the end waited a fifth of a second: %s\n",
              since(ending) >= 0.2 && since(ending) < 1 ? "yes" : "no");
  std::fflush(stdout);
  std::_Exit(0);  // its thread hangs for good
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> scenarios[] = {{"crash", crash},           {"cases", cases},
                                                          {"properties", properties}, {"files", files},
                                                          {"bytes", bytes},           {"hangs", hangs}};
  for (const auto& [name, play] : scenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) {
      play();
      return 0;
    }
  }
  std::fprintf(stderr, "usage: learned_statistics SCENARIO\n");
  return 2;
}

// All decisions of a damsonspoke backend, but for quotas (quota.h). The front calls one method of
// AdmissionController for each thing that happens; the methods act at once through the DecisionSink.
// Interface: decide.h; why: docs/design.md.
#include "decide.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "fixed_directory.h"
#include "quota.h"

namespace damsonspoke {
namespace {

// ---- Constants: all of them, with unit and reason.
constexpr double kTick = 0.1;          // s; between looks at the gauges: short beside any target latency
constexpr double kDueMargin = 0.010;   // s; an answer owed leaves this early, well inside the allowed slack
constexpr double kStopMargin = 0.200;  // s; before the stop: all answers are out even after a slow batch
constexpr double kMemoryShare = 0.92;  // of memory; the rest is for what is not ours to count
constexpr double kKeyShare = 0.4;      // of memory that kept entries may fill: requests need the larger part
constexpr double kHeldPerCore =
    8;  // requests; the count bound beside the bytes, above what the finish check lets
constexpr double kCrowdShare = 0.6;  // of the survivable crowd: returns from calls come on top by themselves
constexpr double kAtCallsPerCore =
    2;  // requests; at calls beside the run limit: all may come back at one moment
constexpr double kFinishShare = 0.85;  // of the time to the target: predictions are means
constexpr double kLeastShare = 0.5;    // of that for the least important: with plenty of room they still pass
constexpr double kLeastWorth =
    1e-3;  // importance counted at least in the order: a free request waits, finitely
constexpr double kLateMatters = 0.5;     // late worth under which the target counts as the end of the wait
constexpr double kAgainSpent = 0.4;      // of the target, gone before a marked retry comes
constexpr double kPaceMemory = 1.5;      // s; a slow spell shows within two or three runs
constexpr double kPacePrior = 0.1;       // core s at normal pace: nothing measured reads as normal
constexpr double kPaceLeast = 0.02;      // a standstill still gives a finite prediction
constexpr double kPaceMost = 3;          // a backend that warms up outruns what it learned cold
constexpr double kHintSpread = 8;        // x the type's mean run: past it a told work is not believed
constexpr double kOverdue = 2;           // x mean run; a run past this is no longer taken as progress
constexpr double kUnhealthyEnter = 0.9;  // predicted bare run over target: nothing would be in time
constexpr double kUnhealthyLeave = 0.6;  // and back only when clearly better, so that it does not flap
constexpr double kErrorsEnter = 0.35;    // share of failed runs; a sound backend fails a few in a thousand
constexpr double kErrorMemory = 12;      // runs; a dozen tell a failing backend from bad luck
constexpr int kSoundRuns = 6;            // good runs in a row that end a failing spell
constexpr int kProbesPerCore = 1;        // requests that an unhealthy backend takes: what it has cores for
constexpr double kHealthPatience = 0.5;  // s of unhealthy before health says so: one odd second is no illness
constexpr double kSilence = 2;           // s without a request read; a list and its callers follow within 2
constexpr double kLagEnter = 1;          // age at reading over target: nothing read can still be in time
constexpr double kLagLeave = 0.3;        // and back when most of the target is left again
constexpr double kLagMemory = 8;       // requests read; a short stall reads a few old ones and is no illness
constexpr double kLagFade = 0.97;      // a tick; when nothing comes any more the lag is forgotten in seconds
constexpr double kHistogramFull = 64;  // values; then halved, so that the past fades
constexpr double kGrow = 1.25;         // x run limit a tick, while cores idle and work waits
constexpr double kGaugeSpan = 0.5;     // s; over which the busy gauge is measured
constexpr double kIdleCores = 0.85;    // busy share under which the cores count as idle
constexpr double kFullCores = 0.97;    // busy share over which a raised run limit comes down again
constexpr double kCallShare = 0.6;  // of this backend's part below flows in evenly, the rest may go at once
constexpr double kCallsSlow = 3;    // x the usual call time: the layer below is crowded
constexpr double kCallDrop = 0.7;   // x call bound on trouble below, at most each kCallDropEvery
constexpr double kCallDropEvery = 0.5;   // s; about the time in which a drop shows below
constexpr double kPatience = 4;          // x the 95th percentile of calls: past it they hardly ever return
constexpr double kLeastPatience = 0.25;  // s; a crowded layer below must not be crowded more by early repeats
constexpr double kMostTurned = 0.9;      // share of calls turned away that is reckoned with: some get through
constexpr double kCallFall = 4;          // calls; one that is given up tells more than one that is late
constexpr double kQuickCall = 2;         // calls; a layer that is well again shows it in two or three
constexpr double kInHandMemory = 20;     // s; the usual load below, beyond a burst or a lull
constexpr double kInHandLeast = 1;       // s of usual calls before their load is believed
constexpr double kLeastInHand = 0.01;    // calls; a load so small still gives a finite wait
constexpr double kCallProbe = 5;  // s; the longest rest between calls: they still tell when the layer is well
constexpr double kCreditDepth = 0.5;    // call s owed at most, and s of the usual load that may be saved up
constexpr int kCallTries = 3;           // calls for one need; more only add to a trouble below
constexpr double kCallBackoff = 0.05;   // s; doubled a try, by chance up to twice as long
constexpr double kHeavyPart = 0.5;      // of the pool in use by one caller or subject: it loses room first
constexpr double kShortageMemory = 30;  // requests read; long enough to tell a storm from a cluster
constexpr double kStorm = 0.5;        // share of newcomers rejected; over it most of what is read are repeats
constexpr double kStormAlone = 0.35;  // that share in a large tier where no retries are seen
constexpr double kRepeats = 0.05;     // share of retries; with room elsewhere hardly any come here
constexpr double kWaitFade = 0.98;    // a request of the type; a habit is told by some fifty
constexpr double kWaitWidth = 0.015;  // of the wait; what clocks and the way add to a habitual one
constexpr double kWaitsSeen = 10;     // requests; before, none is unusual
constexpr double kUsualWait = 0.1;    // share of requests that tell about the same; fewer are no habit
constexpr double kWalkTier = 25;      // backends; a larger tier has callers walk on over more of its backends
constexpr double kStayDown = 0.1;     // share of the longest advice, a tick with idle cores; gone in a second
constexpr double kStayUp = 0.02;      // a tick with full cores; slower, or callers would come and go together
constexpr double kAnnounceStep = 0.02;   // smallest change that is worth announcing
constexpr double kLevelUp = 0.04;        // a tick with rejections; the callers hear within a second
constexpr double kLevelDown = 0.008;     // a tick without; slower, so that the level settles
constexpr double kLevelIdle = 0.02;      // a tick in which cores idle; less than the rise, or it would swing
constexpr double kLevelMost = 0.9;       // of the least important route: no type is asked away altogether
constexpr double kLevelAway = 0.98;      // unhealthy or leaving: a few still come as probes
constexpr double kIdleConnection = 0.3;  // s; least idle time: a retry still finds its connection
constexpr double kIdleUp = 2;            // x idle time a tick of falling behind: all stay within a second
constexpr double kIdleDown = 0.95;       // a tick with room; slower, or all callers would come in at once
constexpr double kIdleStep = 0.2;        // of the idle time; a smaller change is not worth telling
constexpr double kUnreadPerCore = 6;     // wanting a core beside the runs: a fraction of a second of reading
constexpr double kRoomAgain = 0.3;       // share of newcomers rejected under which there is room for callers
constexpr double kReturns = 0.5;         // share of requests whose connection was worth keeping
constexpr double kWorthKeeping = 1.0 / 6;   // of the callers' idle time; open that long costs as much as new
constexpr std::size_t kCallersKept = 1024;  // entries; beyond what one backend meets in that time
constexpr std::size_t kTypesKept = 64;      // that ran lately; what all of them do is judged by these
constexpr int kJudged = 4;  // fresh runs of a type that a prior is held against: one odd run is chance
constexpr double kContradicted = 2;    // x, either way, between their mean and the prior's
constexpr double kLeastAdvice = 0.05;  // s; a shorter stay away changes nothing

// Permuted congruential generator (XSH-RR), started from the instance's seed.
class Pcg {
 public:
  explicit Pcg(std::uint64_t seed) : state_(seed * 2 + 1) { next(); }
  double chance() {  // from 0 to under 1
    return next() / 4294967296.0;
  }

 private:
  std::uint32_t next() {
    const std::uint64_t old = state_;
    state_ = old * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto mixed = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
    const auto turn = static_cast<std::uint32_t>(old >> 59);
    return (mixed >> turn) | (mixed << ((32 - turn) & 31));
  }
  std::uint64_t state_;
};

// Times in a few bins, each twice as wide as the one before, halved when full.
class Histogram {
 public:
  void add(double value) {
    const int bin = value <= kFirst ? 0 : static_cast<int>(std::log2(value / kFirst)) + 1;
    bins_[static_cast<std::size_t>(std::min(bin, kBins - 1))] += 1;
    count_ += 1;
    sum_ += value;
    if (count_ < kHistogramFull) return;
    for (double& n : bins_) n /= 2;
    count_ /= 2;
    sum_ /= 2;
  }
  bool learned() const { return count_ > 0; }
  LearnedDurations told() const { return {{bins_.begin(), bins_.end()}, sum_}; }
  void begin_with(const LearnedDurations& prior) {
    if (prior.bins.size() != bins_.size()) return;
    std::copy(prior.bins.begin(), prior.bins.end(), bins_.begin());
    for (const double n : bins_) count_ += n;
    sum_ = prior.sum;
  }
  double mean() const { return learned() ? sum_ / count_ : 0; }
  double quantile(double share) const {  // the upper end of the bin in which it lies
    double seen = 0;
    for (int bin = 0; bin < kBins; ++bin) {
      seen += bins_[static_cast<std::size_t>(bin)];
      if (seen >= share * count_) return kFirst * std::exp2(bin);
    }
    return kFirst * std::exp2(kBins - 1);
  }

 private:
  static constexpr int kBins = 13;
  static constexpr double kFirst = 0.005;  // s; the last bin starts at 20 s
  std::array<double, kBins> bins_{};
  double count_ = 0;
  double sum_ = 0;
};

enum class Stage { kHeld, kRunning, kPaused, kWantsCall, kCalling, kJoining };

struct Slot {
  Request request;
  Route type;  // as it was when the request was read: it ends under what it began with
  Stage stage = Stage::kHeld;
  bool answered = false;  // or nobody waits any more
  bool has_run = false;
  double due = 0;
  double useful_by = 0;  // the end of the wait that the finish check uses
  double charge = 0;     // kB in the pool
  double since = 0;      // start of the present stage
  double on_cores = 0;   // s of finished spells on the cores
  double away = 0;       // s of finished spells at calls
  int calls = 0;         // needed so far
  int call_tries = 0;
  double call_after = 0;  // no call before this
  double reserved = 0;    // call seconds set aside for the call in hand
  double key_until = 0;
};

// What differs by route.
struct Row {
  Route type;  // as it was when a request of it was last read
  double learned_at = 0;
  Histogram run;                                     // s on the cores
  Histogram away;                                    // s at calls
  double calls = 1;                                  // a run, of late
  std::array<std::pair<double, double>, 6> waits{};  // told usually, and how often of late
  Histogram hinted, hints;  // s on the cores of runs whose request told its work, and the work told
  // While a prior is held against the first warm runs: what it said, and what they say.
  double remembered = 0;
  int fresh = 0;
  Histogram fresh_run, fresh_away;
};

}  // namespace

struct AdmissionController::State {
  State(const AdmissionOptions& settings, std::uint64_t seed, DecisionSink& sink, double now,
        const LearnedStatistics& prior, const RouteDirectory* directory)
      : set_(settings),
        fixed_(settings),
        directory_(directory != nullptr ? *directory : fixed_),
        quotas_(directory_, settings.servers),
        sink_(sink),
        chance_(seed),
        run_limit_(settings.cores),
        callers_(kCallersKept, {0, -1e9}),
        last_(now),
        created_(now) {
    for (std::size_t i = 0; i < directory_.route_count() && i < prior.routes.size(); ++i) {
      Row& row = begin_row(static_cast<int>(i));
      row.run.begin_with(prior.routes[i].run);
      row.away.begin_with(prior.routes[i].away);
      row.remembered = row.run.mean();
      remembers_ = remembers_ || row.remembered > 0;
      if (row.run.learned()) note_learned(static_cast<int>(i));
    }
    calls_.begin_with(prior.calls);
    recent_call_ = calls_.mean();
    if (prior.returning_share >= 0) returns_ = prior.returning_share;
    call_ceiling_ = kAtCallsPerCore * set_.cores;
    call_bound_ = call_ceiling_;
    // A shared layer below has a part for each backend, as a mean number of calls in its hands over a window.
    // One budget, in call seconds: what may be used at once and what flows in add up to the part. Guards
    // against slow, hung and refusing layers. It hurts where the patience is long: few calls go at once.
    call_depth_ = std::max(set_.dependency_share * (1 - kCallShare) * set_.dependency_share_window,
                           kLeastPatience + set_.abandoned_call_time);
    call_budget_ = call_depth_;
    said_idle_ = set_.caller_idle_timeout;
    if (set_.deep_checks) sink_.set_health(true, true);  // deep checks cost work: answer them from store
    // A cold backend asks for what its speed floor allows, and for more as soon as its cores idle.
    level_ = 1 - speed_floor();
    steer(-1);
    wake(now + kTick);
  }

  // ---- Small readings.
  static const Route& type_of(const Slot& s) { return s.type; }
  // Of a request whose type has gone, and left its position to another, a row that nothing else goes by.
  Row& row_of(const Slot& s) {
    Row& row = row_at(s.request.route);
    return row.type.generation == s.type.generation ? row : former_;
  }
  Row& row_at(int type) { return *rows_[static_cast<std::size_t>(type)]; }
  Row& begin_row(int type) {
    const Route& told = directory_.route(type);
    const auto i = static_cast<std::size_t>(type);
    if (rows_.size() <= i) rows_.resize(i + 1);
    if (rows_[i] == nullptr || rows_[i]->type.generation != told.generation)
      rows_[i] = std::make_unique<Row>();
    rows_[i]->type = told;
    return *rows_[i];
  }
  // By position; of more than can be walked the one goes that has not learned for longest.
  void note_learned(int type) {
    row_at(type).learned_at = last_;
    const auto at = std::lower_bound(recent_.begin(), recent_.end(), type);
    if (at != recent_.end() && *at == type) return;
    recent_.insert(at, type);
    if (recent_.size() <= kTypesKept) return;
    recent_.erase(std::min_element(recent_.begin(), recent_.end(), [&](int a, int b) {
      return row_at(a).learned_at < row_at(b).learned_at;
    }));
  }
  bool leaving() const { return leave_at_ >= 0; }
  // Whether a rejection asks not to be retried elsewhere. Whether the others are short of room too shows in
  // the share of retries read here. Guards against a retry storm that reads more than it runs, while what a
  // few slow or cold backends reject finds room. It hurts where retries can't be told from first tries.
  bool storming() const {
    const double large = std::min(1.0, kWalkTier / std::max(1, set_.servers));
    const bool repeats = shortage_ > kStorm * large && repeats_ > kRepeats;
    return repeats || shortage_ > std::max(kStorm * large, kStormAlone);
  }
  bool cold(double now) const { return set_.slow_start && now < created_ + set_.slow_start_time; }

  // The share of full speed that a cold backend has at least; its true speed is not told.
  double speed_floor() const {
    if (!cold(last_)) return 1;
    return set_.slow_start_speed +
           (1 - set_.slow_start_speed) * (last_ - created_) / std::max(set_.slow_start_time, kTick);
  }
  double survivable() const { return (1 + (set_.max_concurrency_factor - 1) * speed_floor()) * set_.cores; }

  double mean_run(const Row& row) {
    if (row.run.learned()) return row.run.mean();
    double sum = 0, n = 0;
    for (const int type : recent_) {
      const Row& other = row_at(type);
      if (other.run.learned()) sum += other.run.mean(), n += 1;
    }
    return n > 0 ? sum / n : 0;
  }

  // A request that tells its work takes the learned time of its type in proportion: a caller's estimate is of
  // another machine, but larger stays larger. Guards against types with a wide spread of work.
  double run_of(const Slot& s) {
    const Row& row = row_of(s);
    if (s.request.work_hint <= 0 || !row.hints.learned() || row.hints.mean() <= 0) return mean_run(row);
    // Believed within a spread of the type's mean: a false figure moves a prediction so far and no further.
    const double usual = mean_run(row);
    return std::clamp(s.request.work_hint * row.hinted.mean() / row.hints.mean(), usual / kHintSpread,
                      usual * kHintSpread);
  }

  // Learned work done per second on the cores, against what the learned run times promise: one measure for
  // whatever makes runs slow, since it sees only that they do not end.
  double pace() {
    double done = done_work_;
    for (const auto& [id, s] : requests_) {
      if (s.stage != Stage::kRunning) continue;
      const double mean = run_of(s), spent = s.on_cores + last_ - s.since;
      if (spent <= kOverdue * mean) done += std::min(spent, mean);
    }
    // A cold backend that knows how long warm runs take begins at the pace that the settings state.
    const double usual = remembers_ ? speed_floor() : 1;
    return std::clamp((done + kPacePrior * usual) / (core_time_ + kPacePrior), kPaceLeast, kPaceMost);
  }

  double predicted_wait() {
    double ahead = 0;
    for (const RequestId id : queue_) ahead += run_of(requests_.at(id));
    for (const auto& [id, s] : requests_)
      if (s.stage == Stage::kRunning) ahead += run_of(s) / 2;
    return ahead / (run_limit_ * pace_);
  }
  // A slow layer below lengthens the predicted finish at once; not where the call can be left out in time.
  double own_time(const Slot& s) {
    double away = row_of(s).away.mean();
    if (away > 0 && calls_.learned() && type_of(s).value_without_call <= 0) {
      if (calls_slow()) return run_of(s) / pace_ + slow_calls(s);
      away *= std::max(1.0, recent_call_ / calls_.mean());
      away += static_cast<double>(call_queue_.size()) * recent_call_ / call_bound_;
    }
    return run_of(s) / pace_ + away;
  }
  bool work_waits() const { return !queue_.empty() || !call_queue_.empty() || running_ >= limit(); }
  int limit() const { return static_cast<int>(std::min(run_limit_, survivable() * kCrowdShare)); }

  bool fits(const Request& request) const {
    return request.size_kb * set_.running_size_factor <= set_.memory_kb * kMemoryShare;
  }
  double budget() const {
    return set_.memory_kb * kMemoryShare - key_kb_ - largest_kb_ * set_.running_size_factor;
  }

  // ---- Time: every method starts here.
  State& at(double now) {
    const double dt = std::max(0.0, now - last_);
    const double keep = std::exp(-dt / kPaceMemory);
    core_time_ = core_time_ * keep + running_ * dt;
    done_work_ *= keep;
    last_ = now;
    while (!key_ends_.empty() && key_ends_.begin()->first <= now) {
      key_kb_ -= set_.idempotency_key_kb;
      key_ends_.erase(key_ends_.begin());
    }
    call_budget_ = std::min(call_depth_, call_budget_ + set_.dependency_share * kCallShare * dt);
    if (calls_.learned() && !calls_slow()) {
      const double fade = std::exp(-dt / kInHandMemory);
      in_hand_ = in_hand_ * fade + calling_ * dt;
      in_hand_over_ = in_hand_over_ * fade + dt;
    }
    const double flows = usual_in_hand();
    const double most = std::max(recent_call_, kCreditDepth * flows);  // one call is always ready
    call_credit_ = std::clamp(call_credit_ + (flows - calling_) * dt, -kCreditDepth, most);
    pace_ = pace();
    return *this;
  }
  // One pending timer: the earliest of the next tick, due time or call. Older wakes are told by their token.
  void wake(double at) {
    if (wake_at_ >= 0 && at >= wake_at_) return;
    wake_at_ = at;
    sink_.schedule_wakeup(at, ++wake_token_);
  }

  // ---- The pool.
  void charge(Slot& s, double kb) {
    pool_used_ += kb - s.charge;
    s.charge = kb;
  }
  void erase(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    charge(at->second, 0);
    due_.erase({at->second.due, id});
    std::erase(queue_, id);
    std::erase(call_queue_, id);
    requests_.erase(at);
    if (requests_.empty()) pool_used_ = 0;  // no drift of sums
  }

  // ---- Answers.
  double advice(double wait) {
    if (!set_.sends_retry_after) return 0;
    if (shortage_ > kStorm) wait = std::max(wait, stay_away_ * shortage_ * set_.max_retry_after);
    if (unhealthy_ || leaving()) wait = set_.max_retry_after;
    wait *= 0.75 + chance_.chance() / 2;  // callers that come back do not come back together
    return wait < kLeastAdvice ? 0 : std::min(wait, set_.max_retry_after);
  }
  void reject(RequestId id, double wait, bool no_retry = false) {
    const auto at = requests_.find(id);
    if (at != requests_.end() && at->second.key_until > last_) drop_key(at->second);
    // Unhealthy is this backend's own trouble: others may well have room.
    sink_.reject(id, advice(wait), !unhealthy_ && (no_retry || storming()));
    erase(id);
  }
  void fail(RequestId id) {
    Slot& s = requests_.at(id);
    sink_.fail(id);
    stop_unwanted(id, s);
  }
  // What is held goes, what runs is stopped or keeps its charge and its core until its end is told.
  void stop_unwanted(RequestId id, Slot& s) {
    s.answered = true;
    due_.erase({s.due, id});
    std::erase(call_queue_, id);  // a call for it would take a place below for nobody
    if (s.stage == Stage::kHeld || s.stage == Stage::kPaused || s.stage == Stage::kJoining) return erase(id);
    // A keyed run goes on for the repeats that will come: stopped half way, its key could never be answered.
    const bool stops = set_.preemption != Preemption::kOff && type_of(s).idempotency != Idempotency::kWithKey;
    if (s.stage == Stage::kRunning && stops) sink_.interrupt(id);
  }

  // ---- Kept entries.
  bool key_room() const {
    return key_kb_ + set_.idempotency_key_kb <= set_.memory_kb * kKeyShare &&
           pool_used_ + key_kb_ + set_.idempotency_key_kb + largest_kb_ * set_.running_size_factor <=
               set_.memory_kb * kMemoryShare;
  }
  void keep_key(RequestId id, Slot& s, double ttl) {
    sink_.remember(id, ttl);
    s.key_until = last_ + ttl;
    key_ends_.insert({s.key_until, id});
    key_kb_ += set_.idempotency_key_kb;
  }
  void drop_key(Slot& s) {
    if (key_ends_.erase({s.key_until, s.request.id}) > 0) key_kb_ -= set_.idempotency_key_kb;
    sink_.forget(s.request.id);
  }

  // ---- Intake. The pool sees bytes, not callers: while work waits, one caller or subject that holds over
  // half of the bytes in use loses room first. Idle room stays free for anyone.
  bool heavy(const Request& request) const {
    double of_caller = 0, of_key = 0, all = 0;
    bool others = false;
    for (const RequestId id : queue_) {
      const Request& other = requests_.at(id).request;
      all += other.size_kb;
      if (other.caller == request.caller) of_caller += other.size_kb;
      if (other.caller != request.caller) others = true;
      if (request.subject != 0 && other.subject == request.subject) of_key += other.size_kb;
    }
    if (queue_.size() < static_cast<std::size_t>(set_.cores)) return false;
    return (others && of_caller > all * kHeavyPart) || of_key > all * kHeavyPart;
  }

  // First tries tell one of the few waits that callers have as a habit, unmarked retries tell any wait.
  bool unusual_wait(const Request& request) {
    auto& waits = row_at(request.route).waits;
    const double told = request.remaining_timeout + request.age;
    auto at = waits.end();
    double all = 1;
    for (auto it = waits.begin(); it != waits.end(); ++it) {
      all += it->second *= kWaitFade;
      if (std::abs(it->first - told) < kWaitWidth * told) at = it;
    }
    if (at == waits.end()) {
      at = std::min_element(waits.begin(), waits.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; });
      *at = {told, 0};
    }
    at->second += 1;
    return all > kWaitsSeen && at->second < kUsualWait * all;
  }
  void on_request(const Request& request) {
    const double now = last_;
    const Route type = begin_row(request.route).type;
    const double arrival = now - request.age;
    // What could never run here must not shrink the budget for the rest.
    if (fits(request)) largest_kb_ = std::max(largest_kb_, request.size_kb);
    if (type.latency_objective > 0)
      lag_ += (std::min(request.age / type.latency_objective, 1.5) - lag_) / kLagMemory;
    note_caller(request.caller);
    const bool again = request.is_retry || (request.remaining_timeout > 0 && unusual_wait(request));
    repeats_ += ((again ? 1 : 0) - repeats_) / kShortageMemory;
    last_read_ = now;
    Slot s;
    s.request = request;
    s.type = type;
    s.since = now;
    s.due = std::max(
        now, (request.remaining_timeout > 0 ? now + request.remaining_timeout : arrival + type.timeout) -
                 kDueMargin);
    if (leaving()) s.due = std::min(s.due, std::max(now, stop_at_ - kStopMargin));
    s.useful_by = s.due;
    // The target counts from the first try; a retry has spent a part, at most what its told wait leaves over.
    double spent = again ? kAgainSpent * type.latency_objective : 0;
    if (request.remaining_timeout > 0)
      spent = std::clamp(type.timeout - request.remaining_timeout - request.age, 0.0, spent);
    if (type.late_value < kLateMatters)
      s.useful_by = std::min(s.due, arrival + type.latency_objective - spent);

    if (request.duplicate_of != 0 && type.idempotency != Idempotency::kNonIdempotent) {
      // A repeat never runs beside its original: it waits for that one's outcome in held memory.
      s.stage = Stage::kJoining;
      admit(s);
      if (pool_used_ > budget())
        return fail(request.id);  // its original may have run: failed, never rejected
      sink_.join(request.id);
      return;
    }
    const double wait = predicted_wait();
    const bool in_quota = !quotas_.on() || quotas_.within(request.tenant, now);
    std::string why = refusal(s, arrival, wait, in_quota);
    if (why == "busy" && in_quota && displaces(s, wait)) why = "";
    // What is stale when read counts as short too, rejected or not: its backend reads too much.
    const bool shortage = why == "busy" || why == "due" || lag_ > kLagLeave;
    if (in_quota) shortage_ += ((shortage ? 1 : 0) - shortage_) / kShortageMemory;
    if (!why.empty()) {
      if (why == "busy") rejected_since_tick_ += 1;
      return reject(request.id, in_quota ? wait : 0, !in_quota && why == "busy");
    }
    if (quotas_.on() && in_quota) quotas_.spend(request.tenant);
    Slot& kept = admit(s);
    if (type.idempotency == Idempotency::kWithKey)
      keep_key(request.id, kept, std::max(set_.timer_resolution, type.idempotency_window - request.age));
    // Reads may share an answer where the site allows it: a hot key then costs one run, not many.
    const bool shares = set_.shared_answer_ttl > 0 && type.idempotency == Idempotency::kIdempotent &&
                        !request.is_write && request.subject != 0;
    if (shares && key_room()) keep_key(request.id, kept, set_.shared_answer_ttl + own_time(kept));
    queue_.push_back(request.id);
    start_more();
  }
  Slot& admit(const Slot& s) {
    Slot& kept = requests_[s.request.id] = s;
    charge(kept, s.request.size_kb);
    due_.insert({kept.due, s.request.id});
    wake(kept.due);
    return kept;
  }

  // Why a newcomer is rejected, or nothing.
  std::string refusal(const Slot& s, double arrival, double wait, bool in_quota) {
    const Route& type = type_of(s);
    if (leaving() && arrival > leave_at_ + set_.drain_grace) return "leaving";
    if (s.due <= last_) return "due";
    if (!fits(s.request)) return "size";
    if (pool_used_ >= budget() || held() >= kHeldPerCore * set_.cores) return "busy";
    if (type.idempotency == Idempotency::kWithKey && !key_room()) return "keys";
    // What runs does not get done in time or fails, whatever the cause: a probe for each core.
    if (unhealthy_ && running_ + at_calls() + held() >= kProbesPerCore * set_.cores) return "ailing";
    if (!work_waits()) return {};
    if (heavy(s.request)) return "busy";
    // The finish check; requests of types with nothing learned are held.
    if (!row_of(s).run.learned()) return {};
    if (!in_quota) return "busy";  // over its quota a request takes idle room only
    // The less a request is worth against the most important, the shorter the queue it may join. One measure
    // for all, or types with short targets would pay alone.
    return wait > room_for(s) ? "busy" : "";
  }
  double room_for(const Slot& s) {
    const double room = s.useful_by - last_ - own_time(s);
    const double share =
        kLeastShare + (1 - kLeastShare) * type_of(s).priority_weight / directory_.highest_priority_weight();
    return kFinishShare * (share < 1 ? share * std::min(room, common_room()) : room);
  }
  // A newcomer that finds the queue too long takes the places of held requests that are worth less, even
  // together: the least first, of those the last to come. Guards against a crowd of cheap requests that was
  // there first.
  bool displaces(const Slot& s, double wait) {
    if (pool_used_ >= budget() || !row_of(s).run.learned() || heavy(s.request)) return false;
    std::vector<const Slot*> cheap;
    for (const RequestId id : queue_) {
      const Slot& other = requests_.at(id);
      if (other.stage == Stage::kHeld && !other.has_run &&
          type_of(other).priority_weight < type_of(s).priority_weight)
        cheap.push_back(&other);
    }
    std::sort(cheap.begin(), cheap.end(), [&](const Slot* a, const Slot* b) {
      const double x = type_of(*a).priority_weight, y = type_of(*b).priority_weight;
      return x != y ? x < y : a->since != b->since ? a->since > b->since : a->request.id > b->request.id;
    });
    const double room = room_for(s);
    double left = type_of(s).priority_weight, count = held();
    std::vector<RequestId> go;
    for (const Slot* other : cheap) {
      if (wait <= room && count < kHeldPerCore * set_.cores) break;
      left -= type_of(*other).priority_weight;
      if (left <= 0) return false;
      wait -= run_of(*other) / (run_limit_ * pace_);
      count -= 1;
      go.push_back(other->request.id);
    }
    if (wait > room || count >= kHeldPerCore * set_.cores) return false;
    for (const RequestId id : go) reject(id, predicted_wait());
    return true;
  }
  // The time that the route with the least of it has for waiting.
  double common_room() {
    double least = -1;
    for (const int i : recent_) {
      const Row& row = row_at(i);
      const Route& type = row.type;
      if (!row.run.learned()) continue;
      const double end = type.late_value < kLateMatters ? type.latency_objective : type.timeout;
      const double room = end - row.run.mean() / pace_ - row.away.mean();
      least = least < 0 ? std::max(room, 0.0) : std::min(least, std::max(room, 0.0));
    }
    return least;
  }
  double held() const { return static_cast<double>(queue_.size()); }
  int at_calls() const { return static_cast<int>(call_queue_.size()) + calling_; }

  // ---- Starts. The held request goes first that has the least time left to start by, divided by its
  // importance. Guards against a queue of cheap requests behind which the few that matter are late by a
  // little.
  void start_more() {
    start_held();
    if (running_ < limit() || held() == 0) full_since_ = last_;
  }
  void start_held() {
    while (running_ < limit() && running_ + at_calls() < survivable() * kCrowdShare) {
      const bool calls_full = at_calls() >= kAtCallsPerCore * set_.cores;
      auto pick = queue_.end();
      double least = 0;
      for (auto it = queue_.begin(); it != queue_.end(); ++it) {
        const Slot& s = requests_.at(*it);
        if (calls_full && type_of(s).calls_dependency) continue;
        const double urgency =
            (s.useful_by - last_ - run_of(s)) / std::max(type_of(s).priority_weight, kLeastWorth);
        if (pick == queue_.end() || urgency < least) pick = it, least = urgency;
      }
      if (pick == queue_.end()) return;
      const RequestId id = *pick;
      Slot& s = requests_.at(id);
      if (s.stage == Stage::kHeld && !s.has_run && last_ + own_time(s) > s.useful_by && running_ > 0) {
        shortage_ += (1 - shortage_) / kShortageMemory;
        reject(id, predicted_wait());  // given up: answered at once
        continue;
      }
      const double running_kb = s.request.size_kb * set_.running_size_factor;
      if (pool_used_ + running_kb - s.charge > budget() && running_ + at_calls() > 0) return;
      queue_.erase(pick);
      charge(s, running_kb);
      s.stage = Stage::kRunning;
      s.has_run = true;
      s.since = last_;
      ++running_;
      sink_.start(id);
    }
  }

  void leave_cores(Slot& s) {
    --running_;
    s.on_cores += last_ - s.since;
    s.since = last_;
  }

  void on_run_finished(RequestId id, Outcome outcome) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    Slot& s = at->second;
    if (s.stage == Stage::kRunning) leave_cores(s);
    if (s.stage == Stage::kCalling) end_call(s, true);
    if (s.stage == Stage::kJoining || outcome == Outcome::kObsolete) return erase(id);
    if (outcome == Outcome::kCancelled && !s.answered) {
      std::erase(call_queue_, id);
      s.stage = set_.preemption == Preemption::kPause ? Stage::kPaused : Stage::kHeld;
      if (s.stage == Stage::kHeld && type_of(s).idempotency != Idempotency::kIdempotent) return fail(id);
      if (s.stage == Stage::kHeld) charge(s, s.request.size_kb);
      queue_.push_front(id);
      return start_more();
    }
    if (outcome == Outcome::kOk) {
      row_of(s).run.add(s.on_cores);
      row_of(s).away.add(s.away);
      if (&row_of(s) != &former_) note_learned(s.request.route);
      if (type_of(s).calls_dependency) row_of(s).calls += (s.calls - row_of(s).calls) / kErrorMemory;
      judge_prior(s);
      done_work_ += run_of(s);
      if (s.request.work_hint > 0) row_of(s).hinted.add(s.on_cores), row_of(s).hints.add(s.request.work_hint);
      ++sound_runs_;
      pace_ = pace();
    }
    if (outcome == Outcome::kError) sound_runs_ = 0;
    if (outcome != Outcome::kCancelled)
      errors_ += ((outcome == Outcome::kError ? 1 : 0) - errors_) / kErrorMemory;
    erase(id);
    look_at_self();
    start_more();
  }

  // Where the first warm runs contradict what an earlier life learned, only they count.
  void judge_prior(Slot& s) {
    Row& row = row_of(s);
    if (row.remembered <= 0 || cold(last_)) return;
    row.fresh_run.add(s.on_cores);
    row.fresh_away.add(s.away);
    if (++row.fresh < kJudged) return;
    const double now_takes = row.fresh_run.mean(), said = std::exchange(row.remembered, 0);
    if (now_takes <= said * kContradicted && now_takes >= said / kContradicted) return;
    row.run = row.fresh_run;
    row.away = row.fresh_away;
    sink_.log("knowledge: dropped for op type " + std::to_string(s.request.route) + ", runs take " +
              std::to_string(now_takes) + " s, not " + std::to_string(said));
  }
  LearnedStatistics learned() const {
    LearnedStatistics out;
    out.routes.resize(directory_.route_count());
    for (std::size_t i = 0; i < rows_.size() && i < out.routes.size(); ++i)
      if (rows_[i] != nullptr) out.routes[i] = {rows_[i]->run.told(), rows_[i]->away.told()};
    out.calls = calls_.told();
    out.returning_share = returns_;
    out.under_pressure = unhealthy_ || cold(last_) || call_bound_ < call_ceiling_;
    return out;
  }

  // ---- Calls below.
  void on_call_needed(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    Slot& s = at->second;
    if (s.stage == Stage::kRunning) leave_cores(s);
    s.stage = Stage::kWantsCall;
    s.call_tries = 0;
    ++s.calls;
    if (s.answered) return sink_.fail(id);
    const bool may_call = set_.dependency != DependencyKind::kShared || set_.dependency_share > 0;
    if (!may_call) return type_of(s).value_without_call > 0 ? skip(id, s) : fail(id);
    call_queue_.push_back(id);
    let_calls_out();
    start_more();
  }
  bool calls_slow() const { return calls_.learned() && recent_call_ > kCallsSlow * calls_.quantile(0.5); }
  // Calls in hand, on the mean, while calls took their usual time: so many the layer below is known to bear,
  // and while it is slow it gets no more. Guards against crowding a slow layer until hardly any call comes
  // back in time. It may hurt where the usual load was far under what the layer bears.
  double usual_in_hand() const {
    const double part =
        set_.dependency == DependencyKind::kShared ? set_.dependency_share * kCallShare : call_ceiling_;
    return std::max(kLeastInHand,
                    in_hand_over_ > kInHandLeast ? std::min(part, in_hand_ / in_hand_over_) : part);
  }
  // A backend that used to call little would never hear that the layer is well again: hence the longest rest.
  double call_gap() const { return std::min(recent_call_ / usual_in_hand(), kCallProbe); }
  double call_rest() const {
    const double owed = std::max(0.0, -call_credit_) / usual_in_hand();
    return std::min(owed, std::max(0.0, call_at_ + kCallProbe - last_));
  }
  // How long the calls of a request take while calls are slow: those of its equals and betters go first.
  double slow_calls(const Slot& s) {
    double ahead = 0;
    for (const auto& [id, other] : requests_) {
      if (id == s.request.id || other.answered || other.stage == Stage::kJoining ||
          !type_of(other).calls_dependency)
        continue;
      if (type_of(other).priority_weight < type_of(s).priority_weight) continue;
      if (other.stage == Stage::kHeld && s.stage == Stage::kHeld && other.since > s.since) continue;
      ahead += other.stage == Stage::kWantsCall ? 1 : 0;
      ahead += std::max(0.0, row_of(other).calls - other.calls);
    }
    const double own = row_of(s).calls;
    return own * recent_call_ + call_rest() + (ahead + own - 1) * call_gap();
  }
  // Calls in hand stay under a bound of our own; when the layer below is slow the more important go first. A
  // call that could only return too late is left out where an answer without it is still worth something.
  void let_calls_out() {
    const bool by_importance = calls_slow() || call_bound_ < call_ceiling_;
    const bool shared = set_.dependency == DependencyKind::kShared;
    while (calling_ < static_cast<int>(call_bound_)) {
      if (calls_slow() && call_rest() > 0) {
        if (!call_queue_.empty()) wake(last_ + std::max(set_.timer_resolution, call_rest()));
        break;
      }
      auto pick = call_queue_.end();
      for (auto it = call_queue_.begin(); it != call_queue_.end(); ++it) {
        if (requests_.at(*it).call_after > last_) continue;
        if (pick == call_queue_.end()) pick = it;
        // Of equals the one that has already had calls: they are spent in vain without this one.
        const Slot &one = requests_.at(*it), &other = requests_.at(*pick);
        const double gain = type_of(one).priority_weight - type_of(other).priority_weight;
        if (by_importance && (gain > 0 || (gain == 0 && one.calls > other.calls))) pick = it;
      }
      if (pick == call_queue_.end()) break;
      const RequestId id = *pick;
      Slot& s = requests_.at(id);
      double patience = s.due - last_;
      if (type_of(s).value_without_call > 0) patience = s.useful_by - mean_run(row_of(s)) / pace_ - last_;
      if (calls_.learned())
        patience =
            std::min(patience,
                     std::max({kLeastPatience, kPatience * calls_.quantile(0.95), kPatience * recent_call_}));
      patience = std::max(set_.timer_resolution, patience);
      if (shared) {
        const double need = std::min(patience + set_.abandoned_call_time, call_depth_);
        if (call_budget_ < need) {
          wake(last_ + set_.timer_resolution + (need - call_budget_) / (set_.dependency_share * kCallShare));
          break;
        }
        patience = need - set_.abandoned_call_time;
        call_budget_ -= need;
        s.reserved = need;
      }
      call_queue_.erase(pick);
      s.stage = Stage::kCalling;
      s.away += last_ - s.since;
      s.since = last_;
      ++s.call_tries;
      ++calling_;
      call_at_ = last_;
      sink_.call(id, patience);
    }
    for (std::size_t i = 0; i < call_queue_.size();) {
      const RequestId id = call_queue_[i];
      Slot& s = requests_.at(id);
      // The mean of dozens of calls lags behind a layer that has just turned slow: the recent ones count too.
      double left = s.useful_by - last_ - (calls_.learned() ? std::max(calls_.mean(), recent_call_) : 0);
      if (calls_slow())
        left -= calls_before(i) * call_gap() + call_rest();
      else if (by_importance)
        left -= calls_before(i) * recent_call_ / (call_bound_ * (1 - turned_away_));
      const bool skips = type_of(s).value_without_call > 0 && left < mean_run(row_of(s)) / pace_;
      // It cannot be in time any more, and others wait for the same scarce calls.
      const bool fails = by_importance && s.useful_by < last_ + recent_call_ && !s.answered;
      if (!skips && !fails) {
        ++i;
        continue;
      }
      call_queue_.erase(call_queue_.begin() + static_cast<std::ptrdiff_t>(i));
      skips ? skip(id, s) : fail(id);
    }
  }
  // How many in the queue go first when the more important do.
  double calls_before(std::size_t place) const {
    const double priority_weight = type_of(requests_.at(call_queue_[place])).priority_weight;
    double before = 0;
    for (std::size_t i = 0; i < call_queue_.size(); ++i) {
      const double other = type_of(requests_.at(call_queue_[i])).priority_weight;
      if (other > priority_weight || (other == priority_weight && i < place)) before += 1;
    }
    return before;
  }
  void skip(RequestId id, Slot& s) {
    s.away += last_ - s.since;
    back_on_cores(s);
    sink_.skip_call(id);
  }
  void back_on_cores(Slot& s) {
    s.stage = Stage::kRunning;
    s.since = last_;
    ++running_;
  }
  void end_call(Slot& s, bool abandoned) {
    const double spent = last_ - s.since;
    --calling_;
    s.away += spent;
    s.since = last_;
    call_budget_ += std::max(0.0, s.reserved - spent - (abandoned ? set_.abandoned_call_time : 0));
    s.reserved = 0;
  }
  void on_call_finished(RequestId id, Outcome outcome) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.stage != Stage::kCalling) return;
    Slot& s = at->second;
    const double spent = last_ - s.since;
    end_call(s, outcome == Outcome::kTimeout);
    turned_away_ += ((outcome == Outcome::kRefused ? kMostTurned : 0) - turned_away_) / kErrorMemory;
    if (outcome == Outcome::kTimeout) recent_call_ += std::max(0.0, spent - recent_call_) / kCallFall;
    if (outcome == Outcome::kOk) {
      calls_.add(spent);
      recent_call_ += (spent - recent_call_) / (spent < recent_call_ ? kQuickCall : kErrorMemory);
      if (!calls_slow() && call_bound_ < call_ceiling_) {
        call_bound_ = std::min(call_ceiling_, call_bound_ + 1 / call_bound_);
        if (call_bound_ >= call_ceiling_) sink_.log("calls: bound back at its usual");
      }
    }
    // Only signs of crowding shrink the bound: a layer below that errs quickly is not helped by fewer calls.
    const bool crowded = outcome == Outcome::kTimeout || outcome == Outcome::kRefused || calls_slow();
    if (crowded && last_ >= call_drop_at_) {
      if (call_bound_ >= call_ceiling_) sink_.log("calls: under pressure, bound lowered");
      call_bound_ = std::max(1.0, call_bound_ * kCallDrop);
      call_drop_at_ = last_ + kCallDropEvery;
    }
    if (outcome == Outcome::kOk) {
      back_on_cores(s);
    } else {
      const bool never_ran =
          outcome == Outcome::kRefused || outcome == Outcome::kUnreachable || outcome == Outcome::kObsolete;
      const double pause = kCallBackoff * std::exp2(s.call_tries - 1) * (1 + chance_.chance());
      const bool again = s.call_tries < kCallTries && last_ + pause < s.useful_by &&
                         (never_ran || type_of(s).idempotency == Idempotency::kIdempotent);
      s.stage = Stage::kWantsCall;
      if (again) {
        s.call_after = last_ + pause;
        wake(s.call_after);
        call_queue_.push_back(id);
      } else if (type_of(s).value_without_call > 0) {
        skip(id, s);
      } else {
        fail(id);
      }
    }
    let_calls_out();
    start_more();
  }

  // ---- Callers that go, and the notice to leave.
  void on_caller_gone(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    stop_unwanted(id, at->second);
    start_more();
  }
  void on_drain(double left) {
    sink_.log("leaving: " + std::to_string(requests_.size()) + " ops in hand");
    leave_at_ = last_;
    stop_at_ = last_ + left;
    due_.clear();
    for (auto& [id, s] : requests_) {
      s.due = std::min(s.due, std::max(last_, stop_at_ - kStopMargin));
      s.useful_by = std::min(s.useful_by, s.due);
      if (!s.answered) due_.insert({s.due, id}), wake(s.due);
    }
    show_health();
  }

  // ---- Time passing.
  void on_timer(std::uint64_t token, const Gauges& gauges) {
    if (token != wake_token_) return;
    wake_at_ = -1;
    while (!due_.empty() && due_.begin()->first <= last_) {
      const RequestId id = due_.begin()->second;
      const Slot& s = requests_.at(id);
      if (s.has_run || s.stage == Stage::kJoining || type_of(s).idempotency != Idempotency::kIdempotent)
        fail(id);
      else
        reject(id, 0);
    }
    if (last_ >= next_tick_) tick(gauges);
    let_calls_out();
    start_more();
    double next = std::max(next_tick_, last_ + set_.timer_resolution);
    if (!due_.empty()) next = std::min(next, std::max(due_.begin()->first, last_));
    wake(next);
  }
  void tick(const Gauges& gauges) {
    next_tick_ = last_ + kTick;
    const bool waits = held() > 0;
    // The gauge looks back: cores that it saw idle before the work came are no reason to run more.
    if (gauges.cpu_busy >= 0 && gauges.cpu_busy < kIdleCores && last_ - full_since_ >= kGaugeSpan)
      run_limit_ = run_limit_ * kGrow;
    else if (gauges.cpu_busy > kFullCores || !waits)
      run_limit_ = run_limit_ - 1;
    if (gauges.cpu_busy >= 0 && gauges.cpu_busy < kIdleCores) lag_ = 0;  // idle cores: nothing stands unread
    lag_ *= kLagFade;
    run_limit_ = std::clamp<double>(run_limit_, set_.cores, survivable() * kCrowdShare);
    look_at_self();
    const bool storm = shortage_ > (storm_ ? kRoomAgain : kStorm);
    if (storm != storm_) sink_.log(storm ? "storm: most newcomers find no room" : "storm: over");
    storm_ = storm;
    steer(gauges.cpu_busy);
    look_at_connections(gauges);
  }

  // Open connections take a part of the cores and a full table denies the next caller, while a new one costs
  // work: worth keeping where callers come back to this backend soon. When reading and new connections fall
  // behind, idle ones stay until newcomers find room again. Guards against a table that takes the cores, and
  // floods of new connections. It hurts where a few callers pause for long and return all at once.
  void look_at_connections(const Gauges& gauges) {
    if (set_.caller_idle_timeout <= 0) return;
    if (gauges.runnable - running_ > kUnreadPerCore * set_.cores)
      idle_ *= kIdleUp;
    else if (shortage_ < kRoomAgain)
      idle_ *= kIdleDown;
    idle_ = std::clamp(idle_, std::min(kIdleConnection, set_.caller_idle_timeout), set_.caller_idle_timeout);
    const double after = returns_ > kReturns ? set_.caller_idle_timeout : idle_;
    if (std::abs(after - said_idle_) <= kIdleStep * said_idle_) return;
    said_idle_ = after;
    sink_.set_idle_timeout(after);
  }
  // Whether callers come back while their connection is worth keeping; one that another pushed out is new.
  void note_caller(std::uint32_t caller) {
    auto& [last_caller, at] = callers_[caller % kCallersKept];
    const bool back = last_caller == caller && last_ - at < kWorthKeeping * set_.caller_idle_timeout;
    returns_ += ((back ? 1 : 0) - returns_) / kShortageMemory;
    last_caller = caller;
    at = last_;
  }

  // Whether runs still get done in time, whether they succeed, and whether requests are read before they are
  // stale. The last guards against reading that takes all the cores: no run starts, so the pace sees nothing.
  void look_at_self() {
    double need = 0, n = 0;
    for (const int i : recent_) {
      const Row& row = row_at(i);
      if (!row.run.learned() || row.type.latency_objective <= 0) continue;
      need += row.run.mean() / pace_ / row.type.latency_objective;
      n += 1;
    }
    const bool slow = !cold(last_) && n > 0 && need / n > (unhealthy_ ? kUnhealthyLeave : kUnhealthyEnter);
    const bool drowning = lag_ > (unhealthy_ ? kLagLeave : kLagEnter);
    if (failing_ && sound_runs_ >= kSoundRuns) failing_ = false, errors_ = 0;
    if (errors_ > kErrorsEnter) failing_ = true;
    const bool was = unhealthy_;
    unhealthy_ = slow || failing_ || drowning;
    if (unhealthy_ && !was) unhealthy_since_ = last_;
    if (unhealthy_ != was) {
      sink_.log(!unhealthy_ ? "ailing: over"
                : failing_  ? "ailing: runs fail"
                : drowning  ? "ailing: ops are stale when read"
                            : "ailing: runs are too slow for their targets");
    }
    show_health();
  }
  void show_health() {
    // Where the list follows health, bad health ends the probes too. So after a silence it is good again
    // until some requests come and show it. Guards against staying away for ever; it costs the failing a few
    // requests.
    const bool silent = last_ >= last_read_ + kSilence;
    const bool good = !leaving() && !(unhealthy_ && !silent && last_ >= unhealthy_since_ + kHealthPatience);
    if (good == healthy_) return;
    healthy_ = good;
    sink_.log(good ? "health: good" : "health: bad");
    sink_.set_health(good, set_.deep_checks);
  }
  // Asks callers for less while newcomers are rejected for want of room, and for more again when none are.
  void steer(double cpu_busy) {
    const bool idle = cpu_busy >= 0 && cpu_busy < kIdleCores;
    // Few callers that all heed long advice leave the cores idle between their returns: then it is shortened.
    stay_away_ = std::clamp(stay_away_ + (idle ? -kStayDown : kStayUp), 0.0, 1.0);
    level_ += idle ? -kLevelIdle : rejected_since_tick_ > 0 ? kLevelUp : -kLevelDown;
    const double most = kLevelMost / static_cast<double>(std::max<std::size_t>(1, directory_.route_count()));
    level_ = std::clamp(level_, 0.0, std::max(most, 1 - speed_floor()));
    rejected_since_tick_ = 0;
    if (set_.load_feedback == LoadFeedback::kOff) return;
    const double less = unhealthy_ || leaving() ? kLevelAway : level_;
    if (std::abs(less - said_) < kAnnounceStep && said_ >= 0) return;
    said_ = less;
    double value = less;
    if (set_.load_feedback == LoadFeedback::kWeight) value = 1 - less;
    if (set_.load_feedback == LoadFeedback::kCredit)
      value = (1 - less) * kHeldPerCore * set_.cores / std::max(1, set_.callers);
    sink_.publish_load_feedback(value);
  }

  const AdmissionOptions set_;
  const FixedRouteDirectory fixed_;
  const RouteDirectory& directory_;
  Quotas quotas_;
  DecisionSink& sink_;
  Pcg chance_;
  std::vector<std::unique_ptr<Row>> rows_;  // by position, of routes that were seen
  std::vector<int> recent_;                 // positions of those that learned lately
  Row former_;
  std::map<RequestId, Slot> requests_;
  std::deque<RequestId> queue_;  // held requests, in the order in which they came
  std::deque<RequestId> call_queue_;
  std::set<std::pair<double, RequestId>> due_;
  std::set<std::pair<double, RequestId>> key_ends_;
  double pool_used_ = 0, key_kb_ = 0, largest_kb_ = 0;
  double run_limit_, full_since_ = 0;
  int running_ = 0, calling_ = 0;
  bool remembers_ = false;  // began with what an earlier life learned
  double core_time_ = 0, done_work_ = 0, pace_ = 1;
  Histogram calls_;
  double turned_away_ = 0;  // share of the recent calls
  double recent_call_ = 0, call_ceiling_ = 1, call_bound_ = 1, call_drop_at_ = 0;
  double call_depth_ = 0, call_budget_ = 0;  // call seconds below
  double in_hand_ = 0, in_hand_over_ = 0;    // call seconds while calls took their usual time, and s
  double call_at_ = 0, call_credit_ = 0;     // call seconds; what the pace of slow calls has left
  double errors_ = 0, lag_ = 0;
  int sound_runs_ = 0;
  bool failing_ = false, unhealthy_ = false, healthy_ = true, storm_ = false;
  double idle_ = 0, said_idle_ = 0, returns_ = 1;
  std::vector<std::pair<std::uint32_t, double>> callers_;
  double unhealthy_since_ = 0, last_read_ = 0;
  double repeats_ = 0;  // share of the requests read that are retries
  double stay_away_ = 1, level_ = 0, said_ = -1, shortage_ = 0;
  int rejected_since_tick_ = 0;
  double last_, created_;
  double leave_at_ = -1, stop_at_ = 0;
  double next_tick_ = 0, wake_at_ = -1;
  std::uint64_t wake_token_ = 0;
};

AdmissionController::AdmissionController(const AdmissionOptions& settings, std::uint64_t seed,
                                         DecisionSink& sink, double now, const LearnedStatistics& prior,
                                         const RouteDirectory* directory)
    : state_(std::make_unique<State>(settings, seed, sink, now, prior, directory)) {}
AdmissionController::~AdmissionController() = default;

void AdmissionController::on_request(double now, const Request& request) {
  state_->at(now).on_request(request);
}
void AdmissionController::on_run_finished(double now, RequestId id, Outcome outcome, double) {
  state_->at(now).on_run_finished(id, outcome);
}
void AdmissionController::on_call_needed(double now, RequestId id) { state_->at(now).on_call_needed(id); }
void AdmissionController::on_call_finished(double now, RequestId id, Outcome outcome, double) {
  state_->at(now).on_call_finished(id, outcome);
}
void AdmissionController::on_caller_gone(double now, RequestId id) { state_->at(now).on_caller_gone(id); }
void AdmissionController::on_drain(double now, double time_left) { state_->at(now).on_drain(time_left); }
void AdmissionController::on_timer(double now, std::uint64_t token, const Gauges& gauges) {
  state_->at(now).on_timer(token, gauges);
}
LearnedStatistics AdmissionController::learned() const { return state_->learned(); }
double AdmissionController::pool_in_use() const { return state_->pool_used_; }

}  // namespace damsonspoke

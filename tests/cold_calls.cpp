// What many backends together have in the hands of a layer below that hangs, is down and comes back, while
// backends die and successors come: the real decisions, many times, on one clock. Their parts are what the
// settings tell; beyond their sum's N calls in the stated window 2 sqrt(N) + 2 are put down to chance. CTest
// compares with tests/traces/cold_calls.txt. usage: cold_calls
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/controller.h"
#include "silent_sink.h"

using namespace damsonspoke;

namespace {

constexpr double kStep = 0.02;   // s
constexpr double kWindow = 5;    // s, as the settings tell
constexpr double kLinger = 0.2;  // s that a call which was given up stays in the layer's hands
constexpr double kWhole = 30;    // calls in its hands on the mean, over all backends of the stated size
constexpr double kSeconds = 38;

enum class Layer { kWell, kHangs, kDown, kSlow };
Layer layer_at(double t) {
  return t < 12   ? Layer::kWell
         : t < 20 ? Layer::kHangs
         : t < 25 ? Layer::kDown
         : t < 32 ? Layer::kSlow
                  : Layer::kWell;
}

class Chance {
 public:
  explicit Chance(std::uint64_t seed) : state_(seed * 2654435761u + 12345) {}
  double next() {
    state_ = state_ * 6364136223846793005u + 1442695040888963407u;
    return static_cast<double>(state_ >> 11) / 9007199254740992.0;
  }

 private:
  std::uint64_t state_;
};

struct InHand {
  double began = 0, ends = 0;
  RequestId request = 0;
  bool given_up = false;
};

// One life of a backend: requests come, run, want a call, and go on.
class Life : public standins::SilentSink {
 public:
  Life(int of, bool cold, double now, std::uint64_t seed) : settings_(settings(of, cold)), now_(now) {
    controller_ = std::make_unique<AdmissionController>(settings_, seed, *this, now);
    last_call_ = now;
  }
  static AdmissionOptions settings(int of, bool cold) {
    AdmissionOptions s;
    Route type;
    type.latency_objective = 2;
    type.timeout = 4;
    type.calls_dependency = true;
    s.routes = {type};
    s.servers = of;
    s.cores = 8;
    s.memory_kb = 100000;
    s.running_size_factor = 2;
    s.preemption = Preemption::kDrop;
    s.max_concurrency_factor = 8;
    s.drain_grace = 1;
    s.timer_resolution = 0.002;
    s.dependency = DependencyKind::kShared;
    s.dependency_share = kWhole / of;
    s.dependency_share_window = kWindow;
    s.abandoned_call_time = kLinger;
    s.slow_start = cold;
    s.slow_start_speed = 0.3;
    s.slow_start_time = 8;
    return s;
  }
  void step(double now, Layer layer, Chance& chance, double arrivals) {
    now_ = now;
    layer_ = layer;
    while (!wakes_.empty() && wakes_.begin()->first <= now) {
      const auto [at, token] = *wakes_.begin();
      wakes_.erase(wakes_.begin());
      controller_->on_timer(now, token, {});
    }
    for (owed_ += arrivals * kStep * 2 * chance.next(); owed_ >= 1; owed_ -= 1) {
      Request request;
      request.id = next_++;
      request.size_kb = 10;
      request.caller = static_cast<std::uint32_t>(request.id);
      controller_->on_request(now, request);
    }
    for (const RequestId id : due(runs_)) controller_->on_call_needed(now, id);
    for (const RequestId id : due(rests_)) controller_->on_run_finished(now, id, Outcome::kOk, 0.02);
    std::vector<std::pair<RequestId, Outcome>> over;
    for (auto it = calls_.begin(); it != calls_.end();) {
      if (it->second.first > now) {
        ++it;
        continue;
      }
      over.emplace_back(it->first, it->second.second);
      it = calls_.erase(it);
    }
    for (const auto& [id, outcome] : over) {
      if (outcome == Outcome::kOk) rests_.emplace(id, now + 0.01);
      controller_->on_call_finished(now, id, outcome, 0);
    }
  }
  // The layer's view: what each call keeps in its hands, from when to when.
  std::vector<InHand> calls;
  double last_call() const { return last_call_; }
  // Its connections end, and with them its calls.
  void dies(double now) {
    for (InHand& call : calls) call.ends = std::min(call.ends, now + kLinger);
  }

  void start(RequestId id) override { runs_.emplace(id, now_ + 0.02); }
  void interrupt(RequestId id) override {
    if (runs_.erase(id) + rests_.erase(id) > 0) later_.push_back(id);
  }
  void fail(RequestId id) override {
    give_up(id);
    later_.push_back(id);
  }
  void call(RequestId id, double patience) override {
    last_call_ = now_;
    double takes = 0.1;
    Outcome outcome = Outcome::kOk;
    if (layer_ == Layer::kSlow) takes = 0.6;
    if (layer_ == Layer::kDown) takes = 0.001, outcome = Outcome::kUnreachable;
    if (layer_ == Layer::kHangs || takes > patience) {
      takes = patience, outcome = Outcome::kTimeout;
    }
    calls_[id] = {now_ + takes, outcome};
    if (layer_ != Layer::kDown)
      calls.push_back({now_, now_ + takes + (outcome == Outcome::kTimeout ? kLinger : 0), id, false});
  }
  void skip_call(RequestId id) override { rests_.emplace(id, now_ + 0.01); }
  void schedule_wakeup(double time, std::uint64_t token) override { wakes_.emplace(time, token); }

  // Runs that were stopped or stood at a call end on the next step.
  void settle(double now) {
    std::vector<RequestId> over;
    over.swap(later_);
    for (const RequestId id : over) {
      runs_.erase(id);
      rests_.erase(id);
      controller_->on_run_finished(now, id, Outcome::kCancelled, 0);
    }
  }

 private:
  std::vector<RequestId> due(std::map<RequestId, double>& of) const {
    std::vector<RequestId> ids;
    for (const auto& [id, at] : of) {
      if (at <= now_) ids.push_back(id);
    }
    for (const RequestId id : ids) of.erase(id);
    return ids;
  }
  void give_up(RequestId id) {
    if (calls_.erase(id) == 0) return;
    for (auto it = calls.rbegin(); it != calls.rend(); ++it) {
      if (it->request == id) return void(it->ends = std::min(it->ends, now_ + kLinger));
    }
  }
  const AdmissionOptions settings_;
  double now_ = 0, owed_ = 0, last_call_ = 0;
  Layer layer_ = Layer::kWell;
  RequestId next_ = 1;
  std::unique_ptr<AdmissionController> controller_;
  std::multimap<double, std::uint64_t> wakes_;
  std::map<RequestId, double> runs_, rests_;
  std::map<RequestId, std::pair<double, Outcome>> calls_;
  std::vector<RequestId> later_;
};

struct Seen {
  double most = 0;     // call seconds in the layer's hands in any window, over all
  double calls = 0;    // of that window
  double longest = 0;  // s after it is back in which a backend called nothing
};

Seen play(int backends, std::uint64_t seed, bool deaths) {
  Chance chance(seed);
  std::vector<std::unique_ptr<Life>> lives;
  std::vector<InHand> over;
  std::uint64_t births = seed * 1000;
  for (int i = 0; i < backends; ++i) lives.push_back(std::make_unique<Life>(backends, false, 0, ++births));
  Seen seen;
  std::deque<double> in_hand;  // by step
  double sum = 0;
  for (double t = kStep; t < kSeconds; t += kStep) {
    // Six in ten are replaced within two seconds, while it hangs and as it comes back; now and then one dies.
    const bool wave = (t > 14 && t < 16) || (t > 25 && t < 27);
    for (auto& life : lives) {
      if (deaths && chance.next() < kStep * (wave ? 0.45 : 0.01)) {
        life->dies(t);
        over.insert(over.end(), life->calls.begin(), life->calls.end());
        life = std::make_unique<Life>(backends, true, t, ++births);
      }
      life->step(t, layer_at(t), chance, 400.0 / backends);
      life->settle(t);
      if (t > 34) seen.longest = std::max(seen.longest, t - std::max(life->last_call(), 32.0));
    }
    double now_held = 0;
    const auto count = [&](std::vector<InHand>& calls) {
      std::erase_if(calls, [&](const InHand& call) { return call.ends <= t; });
      now_held += static_cast<double>(calls.size());
    };
    count(over);
    for (auto& life : lives) count(life->calls);
    in_hand.push_back(now_held);
    sum += now_held;
    if (static_cast<double>(in_hand.size()) * kStep > kWindow) sum -= in_hand.front(), in_hand.pop_front();
    seen.most = std::max(seen.most, sum * kStep);
  }
  return seen;
}

}  // namespace

int main() {
  for (const bool deaths : {false, true}) {
    for (const int backends : {1, 5, 20, 30}) {
      Seen worst;
      for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        const Seen seen = play(backends, seed, deaths);
        worst.most = std::max(worst.most, seen.most);
        worst.longest = std::max(worst.longest, seen.longest);
      }
      // A call that hangs is held for its timeout and the linger: about a second in all.
      const double budget = kWhole * kWindow, allowed = budget + 2 * std::sqrt(budget) + 2;
      std::fprintf(stderr, "%d backends%s: %.1f of %.0f (%.1f)\n", backends, deaths ? ", deaths" : "",
                   worst.most, budget, allowed);
      std::printf(
          "%d backends%s: within the sum of their parts and chance: %s; all call again within 3 s: %s\n",
          backends, deaths ? " that die and come back" : "", worst.most <= allowed ? "yes" : "NO",
          worst.longest < 3 ? "yes" : "NO");
    }
  }
  return 0;
}

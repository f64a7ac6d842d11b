// A seeded fault history without sockets: forwarders' dispatches and planners' sessions over links that
// delay, break and lose frames.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <vector>

#include "tier/dispatch.h"
#include "tier/forwarder_sessions.h"

namespace damsonspoke::tier {

namespace wt = damsonspoke::wire::tier;

enum class PlannerBehavior { kNormal, kSilent, kRejections, kSlow };

class History {
 public:
  History(std::uint64_t seed, int requests, bool print_trace);

  // Runs the history. Returns the first violation; empty if there is none.
  std::string run();

  struct Totals {
    int requests = 0;
    int succeeded = 0;
    int rejected = 0;
    int failed = 0;
    int retries = 0;
    int fences = 0;
    int proven_not_run = 0;
    int stale_answers = 0;
    int unprovable_attempts = 0;
    int key_lookups = 0;
    int key_lookup_hits = 0;
  };
  Totals totals() const;

 private:
  static constexpr int kForwarders = 2;
  static constexpr int kPlanners = 4;
  static constexpr int kCores = 2;
  static constexpr double kKeyWindowSeconds = 1;
  static constexpr double kReloadSpreadSeconds = 0.5;
  static constexpr double kMaxRemainingSeconds = 1.3;  // of a request
  // A forwarder closes a link without frames after this time.
  static constexpr double kForwarderSilenceTimeoutSeconds = 1;
  static constexpr double kSessionGraceSeconds = 0.75;  // how long a planner keeps a session without a link
  static constexpr double kMaxHistorySeconds = 60;
  static constexpr double kNever = 1e18;  // s
  static constexpr double kMicrosecondsPerSecond = 1e6;
  struct Event {
    double at = 0;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at > other.at || (at == other.at && number > other.number);
    }
  };
  struct ObservedRequest {
    double deadline = 0;
    int answers = 0, runs = 0;
    std::uint64_t key_hash = 0;
    int forwarder = 0;
    double arrived_at = 0;
    bool caller_disconnected = false, succeeded = false, rejected = false, failed = false;
  };
  // A link; frames in flight arrive in order in each direction.
  struct Link {
    int forwarder = 0, planner = 0;
    std::uint64_t number = 0;
    bool open_at_planner = true, open_at_forwarder = true;
    ForwarderId session_id = 0;
    double last_arrival_at_planner = 0, last_arrival_at_forwarder = 0;
    int delivered_frames = 1 << 30;  // number of frames to the planner that arrive despite a break
    int frames_sent = 0, frames_received = 0;
    std::vector<std::pair<int, Attempt>> submits;  // with the numbers of their frames
  };
  struct HeldRequest {
    RequestId request = 0;
    ForwarderId forwarder = 0;
    Attempt attempt = 0;
    double deadline = 0;
  };
  // A planner's record of a key; it survives restarts of the planner from the start of the run.
  struct KeyRecord {
    RequestId request = 0;
    double admitted = 0;
    enum { kReserved, kRunning, kEnded, kUnknown } state = kReserved;
    std::vector<HeldRequest> duplicates;  // that wait for the run
  };
  struct Planner {
    std::uint64_t epoch = 0;
    bool up = false;
    PlannerBehavior behavior = PlannerBehavior::kNormal;
    std::unique_ptr<ForwarderSessions> sessions;
    std::deque<HeldRequest> queue;
    std::map<RequestId, HeldRequest> open;  // queued and running
    std::map<std::uint64_t, KeyRecord> keys;
    std::map<RequestId, bool> started;
    int running = 0;
    // Proves of a duplicate that waits for its key's run that it never ran, as planners did at first.
    bool proves_waiting_duplicates = false;

    [[nodiscard]] bool awaits_run_of_key(RequestId request, std::uint64_t key_hash) const;
  };
  struct Forwarder : DispatchSink {
    Forwarder(History& of, int its_number)
        : history(of),
          number(its_number),
          dispatch(
              options(), 1, {"p1", "p2", "p3", "p4"}, *this, [&of] { return of.random_unit(); }, 0) {}
    static DispatchOptions options() {
      DispatchOptions options;
      options.route_by_subject = true;
      options.startup_wait = 0.25;
      options.key_attempts.allowed_lateness = kMaxRemainingSeconds;
      options.key_ownership = {kReloadSpreadSeconds + kMaxRemainingSeconds,
                               kKeyWindowSeconds + 2 * kMaxRemainingSeconds};
      return options;
    }
    void send(int planner, Attempt attempt, RequestId request, double remaining_time,
              bool is_lookup_only) override {
      wt::Submit submit;
      submit.is_lookup_only = is_lookup_only;
      submit.attempt = attempt;
      submit.request = request;
      submit.remaining_us = static_cast<std::uint32_t>(remaining_time * kMicrosecondsPerSecond);
      const auto& picker = dispatch.picker();
      if (picker.open_attempts(planner) > static_cast<int>(window[planner]))
        history.fail(fmt::format("planner {} was sent more attempts than its window", planner));
      history.trace(
          fmt::format("f{} sends request {} as attempt {} to p{}", number, request, attempt, planner));
      history.send_to_planner(links[planner], submit, attempt);
    }
    void cancel(int planner, Attempt attempt) override {
      history.send_to_planner(links[planner], wt::Cancel{attempt});
    }
    void fence(int planner, Attempt attempt) override {
      history.trace(fmt::format("f{} fences attempt {}", number, attempt));
      history.send_to_planner(links[planner], wt::Fence{attempt});
    }
    void reply(RequestId request, LocalReply kind, double, bool) override {
      history.record_reply(request, kind == LocalReply::kRejected ? 'n' : 'f');
    }
    void schedule_wakeup(double time) override {
      if (time >= wake_time) return;  // the dispatch schedules the next wakeup itself
      wake_time = time;
      history.at(std::max(time, history.now_), [this, time] {
        if (wake_time != time) return;
        wake_time = kNever;
        dispatch.on_timer(history.now_);
      });
    }
    History& history;
    const int number;
    double wake_time = kNever;
    std::shared_ptr<Link> links[kPlanners];
    std::uint32_t window[kPlanners] = {};
    Dispatch dispatch;
  };

  double random_unit();  // in [0, 1)
  void at(double time, std::function<void()> action);
  void after(double delay, std::function<void()> action);
  void trace(const std::string& action);
  void fail(const std::string& reason);
  void check_open_attempts();

  // ---- Callers.
  void next_request();
  // `outcome`: 'a' succeeded, 'n' rejected, 'f' failed.
  void record_reply(RequestId id, char outcome);
  // A forwarder that has sent a key, and not proven that it never ran, must not reject a repeat of it. Checks
  // a rejected request against the runs of its key, and a run against the rejections of its repeats.
  void check_rejected_repeat(RequestId id);
  void check_run_of_rejected_repeats(RequestId id);

  // ---- Links.
  void connect(int f, int p);
  double delay();  // transit time of a frame, s
  void send_to_planner(const std::shared_ptr<Link>& link, const wt::Message& message, Attempt attempt = 0);
  void send_to_forwarder(const std::shared_ptr<Link>& link, const wt::Message& message);
  // The forwarder detects the break immediately, the planner later or by the next hello. Some of the frames
  // in flight arrive; some of those that do not are known never to have been written.
  void break_link(const std::shared_ptr<Link>& link);
  // The planner detects the break first. The forwarder continues to send until it also detects the break, so
  // that the planner may have ended the session long before the forwarder abandons its attempts.
  void break_at_planner_first(const std::shared_ptr<Link>& link);
  void close_at_planner(const std::shared_ptr<Link>& link);
  // Frees the key of a request that has not run, and rejects its duplicates.
  void release(Planner& planner, RequestId request);
  void abandon(Planner& planner, const std::vector<RequestId>& requests);

  // ---- Planners.
  void start_planner(int p);
  void kill(int p);
  void send_answer(Planner& planner, const HeldRequest& held, wt::Result result);
  void planner_receives(const std::shared_ptr<Link>& link, const wt::Message& message);
  void planner_receives_hello(Planner& planner, const std::shared_ptr<Link>& link, const wt::Hello& hello);
  void planner_receives_submit(Planner& planner, const Link& link, const wt::Submit& submit);
  // Returns whether the request may run: its key is not known yet, and it is not a lookup. Otherwise answers
  // it, or lets it wait for the run of its key.
  bool reserve_key(Planner& planner, const HeldRequest& held, bool is_lookup_only);
  void start_queued_runs(int p);
  void start_run(int p, const HeldRequest& held);
  void end_run(int p, std::uint64_t epoch, const HeldRequest& held);
  void forwarder_receives(const std::shared_ptr<Link>& link, const wt::Message& message);

  // ---- Faults.
  void inject_fault();

  // Changes the endpoint list; forwarders get the new one at different times.
  void change_endpoint_list();

  pcg32 random_;
  const int max_requests_;
  const bool print_trace_;
  double now_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0, next_link_ = 0, next_epoch_ = 0;
  std::vector<std::unique_ptr<Planner>> planners_;
  std::vector<std::unique_ptr<Forwarder>> forwarders_;
  std::map<std::uint64_t, std::shared_ptr<Link>> links_;  // of the planners
  std::map<std::uint64_t, std::uint64_t> epoch_of_;       // planner epoch by link
  std::map<RequestId, ObservedRequest> requests_;
  std::map<std::uint64_t, double> last_run_admitted_at_;  // by key
  std::map<std::uint64_t, std::vector<RequestId>> runs_of_key_, rejections_of_key_;
  std::string violation_;
};

}  // namespace damsonspoke::tier

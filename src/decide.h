// The interface of the decisions: what a backend can be told (Decider), what it can do (Host), and the plain
// data between them. No decision, default that tunes, or table lives here. Times are seconds, sizes
// kilobytes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace damsonspoke {

using OpId = std::uint64_t;

enum class Effect { kRetryable, kKeyed, kNonRetryable };
enum class Halt { kOff, kDrop, kPause };
enum class Say { kOff, kLevel, kCredit, kWeight };
enum class Below { kOff, kShared, kTier };
// How a run or a call ended. Refused, unreachable and moot prove that it never ran.
enum class Outcome { kOk, kError, kRefused, kTimeout, kUnreachable, kReset, kCancelled, kMoot };

struct OpType {
  std::uint32_t life = 0;  // told anew when another op type takes this one's position
  double target_latency = 0;
  double op_timeout = 0;
  double window = 0;  // keyed: how long a repeat may come
  double importance = 1;
  double late_worth = 0;     // share of the importance that a late answer earns
  double worth_without = 0;  // share earned when the call below was left out
  bool calls = false;
  Effect effect = Effect::kRetryable;
};

struct Customer {
  double quota_per_s = 0;  // over the whole fleet
  std::uint32_t life = 0;  // told anew when another customer takes this one's position
};

// What is looked up of op types and customers by their positions. It may change between two calls of a
// Decider, never within one. Every call takes constant time, however many there are.
class Directory {
 public:
  virtual ~Directory() = default;
  virtual const OpType& op_type(int position) const = 0;
  virtual Customer customer(int position) const = 0;
  virtual std::size_t op_types() const = 0;
  virtual std::size_t customers() const = 0;  // 0: nobody has a quota
  // Positions are below this, now and later.
  virtual std::size_t customer_positions() const = 0;
  virtual double quotas_per_s() const = 0;    // of all customers together
  virtual double most_important() const = 0;  // importance of the op type that has most
};

struct Settings {
  std::vector<OpType> op_types;
  std::vector<Customer> customers;
  int servers = 1;
  int callers = 1;
  int cores = 1;
  double memory_kb = 0;
  double run_factor = 1;
  double key_kb = 0;
  double fresh = 0;
  Halt halt = Halt::kOff;
  Say say = Say::kOff;
  bool deep_checks = false;
  double caller_idle = 0;
  Below below = Below::kOff;
  double dep_share = 0;
  double calls_over = 0;
  double linger = 0;
  bool cold = false;
  double cold_from = 1;
  double cold_time = 0;
  double crowd_multiple = 1;
  double drain_grace = 0;
  bool retry_after = false;
  double max_retry_after = 0;
  double resolution = 0;
};

struct Op {
  OpId id = 0;
  int type = 0;
  int customer = 0;
  std::uint64_t key = 0;
  double remaining_wait = 0;  // 0: not told
  double age = 0;
  double held_kb = 0;
  double work_hint = 0;  // s of work on a standard core, as the caller estimates it; 0: not told
  bool again = false;    // a further try, where such are marked
  bool write = false;
  std::uint32_t caller = 0;
  OpId original = 0;  // the kept op that this one repeats, or 0
};

// Gauges that the site does not have are negative.
struct Gauges {
  double cpu_busy = -1;
  double runnable = -1;
  double memory_used = -1;
  double connections = -1;
};

// How long something takes, as a Histogram of the module holds it: values by bin, each bin twice as wide as
// the one before, and the sum of the values, in seconds.
struct LearnedTimes {
  std::vector<double> bins;
  double sum = 0;
};

// What one life has learned that may mean something to the next. Counts say how much it weighs.
struct Knowledge {
  struct Times {
    LearnedTimes run, away;
  };
  std::vector<Times> types;  // by position, as the op types
  LearnedTimes calls;
  double returns = -1;  // share of ops whose connection was worth keeping; < 0: not known
  bool troubled =
      false;  // learned while runs failed, were too slow or stale, or the layer below was under pressure
};

class Host {
 public:
  virtual ~Host() = default;
  virtual void start(OpId id) = 0;
  virtual void interrupt(OpId id) = 0;
  virtual void reject(OpId id, double come_back_in, bool no_retry) = 0;
  virtual void fail(OpId id) = 0;
  virtual void call(OpId id, double patience) = 0;
  virtual void skip_call(OpId id) = 0;
  virtual void remember(OpId id, double ttl) = 0;
  virtual void forget(OpId id) = 0;
  virtual void join(OpId id) = 0;
  virtual void set_health(bool good, bool from_store) = 0;
  virtual void announce(double value) = 0;
  virtual void close_idle(double after) = 0;
  virtual void wake_at(double time, std::uint64_t token) = 0;
  virtual void log(const std::string& line) = 0;
};

class Decider {
 public:
  // A prior is believed as far as its counts go, until the first runs speak against it. Op types and
  // customers are those of the settings, or of a directory, which then has to outlive this.
  Decider(const Settings& settings, std::uint64_t seed, Host& host, double now, const Knowledge& prior = {},
          const Directory* directory = nullptr);
  ~Decider();
  Decider(const Decider&) = delete;
  Decider& operator=(const Decider&) = delete;

  void on_op(double now, const Op& op);
  void on_run_end(double now, OpId id, Outcome outcome, double spent);
  void on_call_needed(double now, OpId id);
  void on_call_end(double now, OpId id, Outcome outcome, double spent);
  void on_gone(double now, OpId id);
  void on_leave(double now, double time_left);
  void on_wake(double now, std::uint64_t token, const Gauges& gauges);
  Knowledge learned() const;
  double pool_in_use() const;  // kilobytes charged, for tests and reports

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace damsonspoke

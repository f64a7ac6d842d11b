// Two levels without sockets: forwarders' decisions against planners' holdings over links that delay, break
// and lose, in seeded histories; then picker, line and outlook on their own. CTest compares with
// tests/traces/tier_NAME.txt. usage: tier SCENARIO [SEED]
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <vector>

#include "tier/dispatch.h"
#include "tier/holdings.h"
#include "tier/lists_record.h"
#include "tier/slot_worth.h"

using namespace damsonspoke;
using namespace damsonspoke::tier;
namespace wt = damsonspoke::wire::tier;

namespace {

// ---- Histories.
enum class Manner { kSound, kMute, kNacks, kSlow };

class History {
 public:
  History(std::uint64_t seed, int ops, bool tell) : random_(seed), most_ops_(ops), tell_(tell) {
    for (int p = 0; p < kPlanners; ++p) {
      planners_.push_back(std::make_unique<Planner>());
      begin_life(p);
    }
    for (int f = 0; f < kForwarders; ++f) forwarders_.push_back(std::make_unique<Forwarder>(*this, f));
    for (int f = 0; f < kForwarders; ++f) {
      for (int p = 0; p < kPlanners; ++p) at(chance() * 0.05, [this, f, p] { connect(f, p); });
    }
    at(0.02, [this] { next_op(); });
    at(0.5 + chance(), [this] { trouble(); });
    at(0.3 + chance(), [this] { relist(); });
  }

  // Empty: nothing broke. Else what did.
  std::string play() {
    while (!events_.empty() && broken_.empty() && now_ < 60) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      event.what();
      check_credits();
    }
    if (broken_.empty()) {
      for (const auto& [id, op] : ops_) {
        if (op.answers == 0 && !op.gone) fail("op " + std::to_string(id) + " was never answered");
      }
    }
    return broken_;
  }

  struct Totals {
    int ops = 0, acked = 0, nacked = 0, failed = 0, second = 0, fenced = 0, proven = 0, dropped = 0, lost = 0,
        asked = 0, known = 0;
  };
  Totals totals() const {
    Totals t;
    for (const auto& [id, op] : ops_)
      ++t.ops, t.acked += op.acked, t.nacked += op.nacked, t.failed += op.failed;
    for (const auto& f : forwarders_) {
      const DispatchCounts& c = f->dispatch.counts();
      t.second += static_cast<int>(c.second_tries), t.fenced += static_cast<int>(c.fences);
      t.proven += static_cast<int>(c.proven), t.dropped += static_cast<int>(c.dropped_answers);
      t.lost += static_cast<int>(c.lost);
      t.asked += static_cast<int>(c.asked), t.known += static_cast<int>(c.known);
    }
    return t;
  }

 private:
  static constexpr int kForwarders = 2, kPlanners = 4, kCores = 2;
  static constexpr double kWindow = 1, kSpread = 0.5,
                          kLongest = 1.3;  // s: of keys, of reloads, that an op waits
  struct Event {
    double at = 0;
    std::uint64_t number = 0;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return at > other.at || (at == other.at && number > other.number);
    }
  };
  struct OpSeen {
    double due = 0;
    int answers = 0, runs = 0;
    std::uint64_t mark = 0;
    bool gone = false, acked = false, nacked = false, failed = false;
  };
  // One link, two ways; what is under way on it comes in order.
  struct Link {
    int forwarder = 0, planner = 0;
    std::uint64_t number = 0;
    bool there = true, here = true;  // whether the planner, the forwarder, still has it open
    ForwarderId known_as = 0;
    double last_out = 0, last_in = 0;
    int cut_out = 1 << 30;  // frames to the planner that arrive all the same
    int sent_out = 0, heard_out = 0;
    std::vector<std::pair<int, Attempt>> submits;  // by number of the frame
  };
  struct Held {
    OpId op = 0;
    ForwarderId forwarder = 0;
    Attempt attempt = 0;
    double due = 0;
  };
  // What a planner remembers of a key: in its store from when it runs.
  struct Memory {
    OpId op = 0;
    double admitted = 0;
    enum { kReserved, kRunning, kEnded, kUnknown } state = kReserved;
    std::vector<Held> waits;  // repeats
  };
  struct Planner {
    std::uint64_t epoch = 0;
    bool up = false;
    Manner manner = Manner::kSound;
    std::unique_ptr<Holdings> holdings;
    std::deque<Held> line;
    std::map<OpId, Held> open;  // held and running
    std::map<std::uint64_t, Memory> memory;
    std::map<OpId, bool> started;
    int running = 0;
  };
  struct Forwarder : DispatchHost {
    Forwarder(History& h, int n)
        : history(h),
          number(n),
          dispatch(
              terms(), 1, {"p1", "p2", "p3", "p4"}, *this, [&h] { return h.chance(); }, 0) {}
    static DispatchTerms terms() {
      DispatchTerms t;
      t.by_key = true;
      t.homes = {kSpread + kLongest, kWindow + 2 * kLongest};
      return t;
    }
    void send(int planner, Attempt attempt, OpId op, double left, bool known_only) override {
      wt::Submit submit;
      submit.known_only = known_only;
      submit.attempt = attempt;
      submit.op = op;
      submit.left_us = static_cast<std::uint32_t>(left * 1e6);
      const auto& picker = dispatch.picker();
      if (picker.open(planner) > static_cast<int>(window[planner]))
        history.fail("planner " + std::to_string(planner) + " was sent more than its window");
      history.note("f" + std::to_string(number) + " sends op " + std::to_string(op) + " as " +
                   std::to_string(attempt) + " to p" + std::to_string(planner));
      history.out(links[planner], submit, attempt);
    }
    void cancel(int planner, Attempt attempt) override { history.out(links[planner], wt::Cancel{attempt}); }
    void fence(int planner, Attempt attempt) override {
      history.note("f" + std::to_string(number) + " fences " + std::to_string(attempt));
      history.out(links[planner], wt::Fence{attempt});
    }
    void reply(OpId op, Reply how, double, bool) override {
      history.answered(op, how == Reply::kNacked ? 'n' : 'f');
    }
    void wake_at(double time) override {
      if (time >= wake_time) return;  // it asks anew when it is woken
      wake_time = time;
      history.at(std::max(time, history.now_), [this, time] {
        if (wake_time != time) return;
        wake_time = 1e18;
        dispatch.on_wake(history.now_);
      });
    }
    History& history;
    const int number;
    double wake_time = 1e18;
    std::shared_ptr<Link> links[kPlanners];
    std::uint32_t window[kPlanners] = {};
    Dispatch dispatch;
  };

  double chance() { return random_() / 4294967296.0; }
  void at(double time, std::function<void()> what) { events_.push({time, next_event_++, std::move(what)}); }
  void after(double delay, std::function<void()> what) { at(now_ + delay, std::move(what)); }
  void note(const std::string& what) {
    if (tell_) std::printf("%8.4f  %s\n", now_, what.c_str());
  }
  void fail(const std::string& why) {
    if (broken_.empty()) broken_ = why;
  }
  void check_credits() {
    for (const auto& f : forwarders_) {
      for (int p = 0; p < kPlanners; ++p) {
        if (f->dispatch.picker().open(p) != f->dispatch.attempts().open_at(p))
          fail("credits of f" + std::to_string(f->number) + " at p" + std::to_string(p) + ": " +
               std::to_string(f->dispatch.picker().open(p)) + " taken, " +
               std::to_string(f->dispatch.attempts().open_at(p)) + " attempts in hand");
      }
    }
  }

  // ---- Callers.
  void next_op() {
    if (static_cast<int>(ops_.size()) >= most_ops_) return;
    const OpId id = ops_.size() + 1;
    ForwardOp op;
    op.id = id;
    op.caller = random_() % 5;
    op.key = random_() % 3 == 0 ? 1 + random_() % 4 : 0;
    op.mark = random_() % 5 == 0 ? 1 + random_() % 12 : 0;
    ops_[id].mark = op.mark;
    op.importance = random_() % 4 == 0 ? 3 : 1;
    op.left = 0.1 + chance() * 1.2;
    op.bytes = 100;
    ops_[id].due = now_ + op.left;
    const int f = static_cast<int>(random_() % kForwarders);
    note("op " + std::to_string(id) + " at f" + std::to_string(f));
    Dispatch& dispatch = forwarders_[static_cast<std::size_t>(f)]->dispatch;
    dispatch.on_op(op, now_);
    if (random_() % 40 == 0) {
      after(chance() * 0.3, [this, id, &dispatch] {
        if (ops_[id].answers > 0) return;
        note("caller of " + std::to_string(id) + " goes");
        ops_[id].gone = true;
        dispatch.on_gone(id, now_);
      });
    }
    after(-std::log(1 - chance()) / 150, [this] { next_op(); });
  }
  void answered(OpId id, char how) {
    OpSeen& op = ops_[id];
    note("op " + std::to_string(id) + " is answered " + how);
    op.acked = how == 'a', op.nacked = how == 'n', op.failed = how == 'f';
    if (++op.answers > 1) fail("op " + std::to_string(id) + " was answered twice");
    if (op.gone) fail("op " + std::to_string(id) + " was answered to nobody");
    if (now_ > op.due + 1e-6) fail("op " + std::to_string(id) + " was answered late");
    if (how == 'n' && op.runs > 0) fail("op " + std::to_string(id) + " was nacked and had run");
    if (how == 'a' && op.runs == 0 && !ran_.contains(op.mark))
      fail("op " + std::to_string(id) + " was acked and had not run");
  }

  // ---- Links.
  void connect(int f, int p) {
    Forwarder& forwarder = *forwarders_[static_cast<std::size_t>(f)];
    if (!planners_[static_cast<std::size_t>(p)]->up)
      return after(0.05 + chance() * 0.1, [this, f, p] { connect(f, p); });
    auto link = std::make_shared<Link>();
    link->forwarder = f, link->planner = p, link->number = ++next_link_;
    forwarder.links[p] = link;
    wt::Hello hello;
    hello.epoch = static_cast<std::uint64_t>(f) + 1;
    hello.name = "f" + std::to_string(f);
    out(link, hello);
  }
  double delay() { return 0.0002 + (random_() % 20 == 0 ? chance() * 0.15 : chance() * 0.002); }
  void out(const std::shared_ptr<Link>& link, const wt::Message& message, Attempt attempt = 0) {
    if (!link || !link->here) return fail("a frame was sent on a link that is down");
    const int number = link->sent_out++;
    if (attempt != 0) link->submits.emplace_back(number, attempt);
    link->last_out = std::max(link->last_out, now_ + delay());
    at(link->last_out, [this, link, number, message] {
      if (!link->there || number >= link->cut_out) return;
      link->heard_out = number + 1;
      planner_hears(link, message);
    });
  }
  void in(const std::shared_ptr<Link>& link, const wt::Message& message) {
    link->last_in = std::max(link->last_in, now_ + delay());
    at(link->last_in, [this, link, message] {
      if (link->here) forwarder_hears(link, message);
    });
  }
  // The forwarder hears of the break now, the planner some time later or by the next hello. Of what was under
  // way some arrives; of that a part is known never to have been written.
  void break_link(const std::shared_ptr<Link>& link) {
    if (!link || !link->here) return;
    note("link of f" + std::to_string(link->forwarder) + " and p" + std::to_string(link->planner) +
         " breaks");
    link->here = false;
    const int under_way = static_cast<int>(random_() % 6);
    link->cut_out = std::max(link->heard_out, link->sent_out - static_cast<int>(random_() % 4));
    const int written = std::min(link->sent_out, link->cut_out + under_way);
    std::vector<Attempt> unwritten;
    for (const auto& [number, attempt] : link->submits) {
      if (number >= written) unwritten.push_back(attempt);
    }
    after(chance() * 0.6, [this, link] { planner_loses(link); });
    const int f = link->forwarder, p = link->planner;
    forwarders_[static_cast<std::size_t>(f)]->dispatch.on_link_lost(p, unwritten, now_);
    after(0.02 + chance() * (random_() % 4 == 0 ? 2 : 0.2), [this, f, p] { connect(f, p); });
  }
  void planner_loses(const std::shared_ptr<Link>& link) {
    if (!link->there) return;
    link->there = false;
    Planner& planner = *planners_[static_cast<std::size_t>(link->planner)];
    if (!planner.up) return;
    planner.holdings->link_lost(link->number, now_);
    links_[link->number] = nullptr;
    const int p = link->planner;
    const std::uint64_t epoch = planner.epoch;
    after(0.8, [this, p, epoch] {
      Planner& later = *planners_[static_cast<std::size_t>(p)];
      if (later.up && later.epoch == epoch) gone(later, later.holdings->expired(now_));
    });
  }
  // Where nothing of it has run, its key is free again, and its repeats are told so.
  void release(Planner& planner, OpId op) {
    const auto found = planner.memory.find(ops_[op].mark);
    if (found == planner.memory.end() || found->second.op != op || found->second.state != Memory::kReserved)
      return;
    const std::vector<Held> waits = std::move(found->second.waits);
    planner.memory.erase(found);
    for (const Held& held : waits) tell(planner, held, wt::Result::kNacked);
  }
  void gone(Planner& planner, const std::vector<OpId>& ops) {
    for (const OpId op : ops) {
      if (!planner.started[op]) release(planner, op);
      std::erase_if(planner.line, [&](const Held& held) { return held.op == op; });
      if (!planner.started[op]) planner.open.erase(op);
    }
  }

  // ---- Planners.
  void begin_life(int p) {
    Planner& planner = *planners_[static_cast<std::size_t>(p)];
    std::map<std::uint64_t, Memory> kept = std::move(planner.memory);
    std::erase_if(kept, [](const auto& one) { return one.second.state == Memory::kReserved; });
    for (auto& [mark, one] : kept) {
      if (one.state == Memory::kRunning) one.state = Memory::kUnknown;
      one.waits.clear();
    }
    planner = Planner{};
    planner.memory = std::move(kept);
    planner.up = true;
    planner.epoch = 1000 + ++next_epoch_;
    planner.holdings = std::make_unique<Holdings>(HoldingsTerms{0.75, 4096, 8, 64});
  }
  void kill(int p) {
    Planner& planner = *planners_[static_cast<std::size_t>(p)];
    if (!planner.up) return;
    note("p" + std::to_string(p) + " dies");
    planner.up = false;
    planner.epoch = 0;
    for (const auto& f : forwarders_) {
      if (f->links[p]) f->links[p]->there = false;
      break_link(f->links[p]);
    }
    after(0.05 + chance(), [this, p] { begin_life(p); });
  }
  void tell(Planner& planner, const Held& held, wt::Result result) {
    planner.open.erase(held.op);
    wt::Answer answer;
    answer.attempt = held.attempt;
    answer.result = result;
    answer.come_back_us = 100000;
    const std::uint64_t link = planner.holdings->answered(held.forwarder, answer);
    if (link != 0 && links_[link]) in(links_[link], answer);
  }
  void planner_hears(const std::shared_ptr<Link>& link, const wt::Message& message) {
    Planner& planner = *planners_[static_cast<std::size_t>(link->planner)];
    if (!planner.up) return;
    if (const auto* hello = std::get_if<wt::Hello>(&message)) {
      const Holdings::Greeting greeting = planner.holdings->hello(hello->name, hello->epoch, link->number);
      if (greeting.old_link != 0 && links_[greeting.old_link]) links_[greeting.old_link]->there = false;
      gone(planner, greeting.gone);
      link->known_as = greeting.forwarder;
      links_[link->number] = link;
      wt::Hello mine;
      mine.planner = true;
      mine.epoch = planner.epoch;
      mine.window = 8;
      in(link, mine);
    } else if (const auto* submit = std::get_if<wt::Submit>(&message)) {
      if (planner.holdings->submit(link->known_as, submit->attempt, submit->op, 0) !=
          Holdings::Taking::kTaken)
        return;
      const Held held{submit->op, link->known_as, submit->attempt, now_ + submit->left_us * 1e-6};
      if (planner.manner == Manner::kNacks || planner.open.contains(submit->op))
        return tell(planner, held, wt::Result::kNacked);
      if (const std::uint64_t mark = ops_[held.op].mark; mark != 0) {
        const auto known = planner.memory.find(mark);
        const bool over = known != planner.memory.end() && known->second.state > Memory::kRunning &&
                          now_ >= known->second.admitted + kWindow;
        if (known != planner.memory.end() && !over) {
          if (known->second.state == Memory::kEnded) return tell(planner, held, wt::Result::kAcked);
          if (known->second.state == Memory::kUnknown) return tell(planner, held, wt::Result::kUnknown);
          planner.open[held.op] = held;
          known->second.waits.push_back(held);
          return;
        }
        if (submit->known_only) return tell(planner, held, wt::Result::kNotKnown);
        planner.memory[mark] = {held.op, now_, Memory::kReserved, {}};
      } else if (submit->known_only) {
        fail("op " + std::to_string(held.op) + " has no key and was asked about");
      }
      planner.open[held.op] = held;
      planner.line.push_back(held);
      run_more(link->planner);
    } else if (const auto* cancel = std::get_if<wt::Cancel>(&message)) {
      if (const auto op = planner.holdings->cancel(link->known_as, cancel->attempt)) gone(planner, {*op});
    } else if (const auto* fence = std::get_if<wt::Fence>(&message)) {
      const Holdings::Proof proof = planner.holdings->fence(link->known_as, fence->attempt,
                                                            [&](OpId op) { return planner.started[op]; });
      if (proof.drop) gone(planner, {*proof.drop});
      in(link, proof.answer);
    }
  }
  void run_more(int p) {
    Planner& planner = *planners_[static_cast<std::size_t>(p)];
    while (planner.manner != Manner::kMute && planner.running < kCores && !planner.line.empty()) {
      const Held held = planner.line.front();
      planner.line.pop_front();
      if (now_ > held.due) {
        release(planner, held.op);
        tell(planner, held, wt::Result::kNacked);
        continue;
      }
      planner.started[held.op] = true;
      ++planner.running;
      if (++ops_[held.op].runs > 1) fail("op " + std::to_string(held.op) + " ran twice");
      if (const std::uint64_t mark = ops_[held.op].mark; mark != 0) {
        Memory& memory = planner.memory.at(mark);
        memory.state = Memory::kRunning;
        const auto before = ran_.find(mark);
        if (before != ran_.end() && memory.admitted < before->second + kWindow)
          fail("key " + std::to_string(mark) + " ran twice within its window");
        ran_[mark] = memory.admitted;
      }
      if (ops_[held.op].nacked) fail("op " + std::to_string(held.op) + " ran after it was nacked");
      note("p" + std::to_string(p) + " runs op " + std::to_string(held.op));
      const std::uint64_t epoch = planner.epoch;
      const double takes = -std::log(1 - chance()) * 0.02 * (planner.manner == Manner::kSlow ? 10 : 1);
      after(takes, [this, p, epoch, held] {
        Planner& later = *planners_[static_cast<std::size_t>(p)];
        if (later.epoch != epoch) return;
        --later.running;
        const bool good = random_() % 50 != 0;
        tell(later, held, good ? wt::Result::kAcked : wt::Result::kFailed);
        if (const std::uint64_t mark = ops_[held.op].mark; mark != 0) {
          Memory& memory = later.memory.at(mark);
          memory.state = good ? Memory::kEnded : Memory::kUnknown;
          for (const Held& wait : std::exchange(memory.waits, {}))
            tell(later, wait, good ? wt::Result::kAcked : wt::Result::kUnknown);
        }
        run_more(p);
      });
    }
  }
  void forwarder_hears(const std::shared_ptr<Link>& link, const wt::Message& message) {
    Forwarder& forwarder = *forwarders_[static_cast<std::size_t>(link->forwarder)];
    const int p = link->planner;
    if (const auto* hello = std::get_if<wt::Hello>(&message)) {
      epoch_of_[link->number] = hello->epoch;
      forwarder.window[p] = hello->window;
      forwarder.dispatch.on_link_up(p, hello->epoch, hello->window, now_);
    } else if (const auto* answer = std::get_if<wt::Answer>(&message)) {
      AnswerKind kind = AnswerKind::kFailed;
      if (answer->result == wt::Result::kAcked) kind = AnswerKind::kAcked;
      if (answer->result == wt::Result::kNacked) kind = AnswerKind::kNacked;
      if (answer->result == wt::Result::kNeverRan) kind = AnswerKind::kNeverRan;
      if (answer->result == wt::Result::kRunning) kind = AnswerKind::kRunning;
      if (answer->result == wt::Result::kForgotten) kind = AnswerKind::kForgotten;
      if (answer->result == wt::Result::kNotKnown) kind = AnswerKind::kNotKnown;
      const std::optional<OpId> over = forwarder.dispatch.on_answer(
          p, epoch_of_[link->number], answer->attempt, kind, answer->come_back_us * 1e-6, false, now_);
      if (over) answered(*over, kind == AnswerKind::kAcked ? 'a' : 'f');
    }
  }

  // ---- What goes wrong.
  void trouble() {
    const int p = static_cast<int>(random_() % kPlanners);
    switch (random_() % 8) {
      case 0: kill(p); break;
      case 1: {
        const bool all = random_() % 3 == 0;
        for (int i = 0; i < kPlanners; ++i) {
          if (all || i == p) kill(i);
        }
        break;
      }
      case 2: planners_[static_cast<std::size_t>(p)]->manner = Manner::kMute; break;
      case 3: planners_[static_cast<std::size_t>(p)]->manner = Manner::kNacks; break;
      case 4: planners_[static_cast<std::size_t>(p)]->manner = Manner::kSlow; break;
      case 5:
        for (const auto& planner : planners_) planner->manner = Manner::kSound;
        for (int i = 0; i < kPlanners; ++i) run_more(i);
        break;
      default: break_link(forwarders_[random_() % kForwarders]->links[p]);
    }
    if (static_cast<int>(ops_.size()) < most_ops_) after(chance() * 0.3, [this] { trouble(); });
  }

  // Another list of planners, which forwarders get one after the other.
  void relist() {
    std::vector<std::string> names;
    while (names.empty()) {
      for (int p = 0; p < kPlanners; ++p) {
        if (random_() % 3 != 0)
          names.push_back(std::string("p1 p2 p3 p4").substr(static_cast<std::size_t>(3 * p), 2));
      }
    }
    for (const auto& f : forwarders_) {
      after(chance() * kSpread, [this, &f, names] {
        note("f" + std::to_string(f->number) + " has a list of " + std::to_string(names.size()) + ", with " +
             names.front() + " first");
        f->dispatch.set_planners(names, now_);
      });
    }
    if (static_cast<int>(ops_.size()) < most_ops_) after(kSpread + chance() * 4, [this] { relist(); });
  }

  pcg32 random_;
  const int most_ops_;
  const bool tell_;
  double now_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0, next_link_ = 0, next_epoch_ = 0;
  std::vector<std::unique_ptr<Planner>> planners_;
  std::vector<std::unique_ptr<Forwarder>> forwarders_;
  std::map<std::uint64_t, std::shared_ptr<Link>> links_;  // as planners know them
  std::map<std::uint64_t, std::uint64_t> epoch_of_;       // of the planner, by link
  std::map<OpId, OpSeen> ops_;
  std::map<std::uint64_t, double> ran_;  // when the last run of a key was admitted
  std::string broken_;
};

// Short histories first: the first that breaks is about the shortest there is.
void histories() {
  History::Totals all;
  int count = 0;
  for (const int ops : {5, 20, 60, 200, 600}) {
    for (std::uint64_t seed = 1; seed <= (ops < 200 ? 500u : 40u); ++seed, ++count) {
      History history(seed * 1000 + static_cast<std::uint64_t>(ops), ops, false);
      const std::string broken = history.play();
      if (!broken.empty()) {
        std::printf("%d ops, seed %llu: %s\n", ops, static_cast<unsigned long long>(seed), broken.c_str());
        History again(seed * 1000 + static_cast<std::uint64_t>(ops), ops, true);
        again.play();
        return;
      }
      const History::Totals t = history.totals();
      all.ops += t.ops, all.acked += t.acked, all.nacked += t.nacked, all.failed += t.failed;
      all.second += t.second, all.fenced += t.fenced, all.proven += t.proven, all.dropped += t.dropped;
      all.lost += t.lost, all.asked += t.asked, all.known += t.known;
    }
  }
  std::printf("%d histories: one answer each and in time, no second run, credits right, windows kept\n",
              count);
  const auto share = [&](int n, double least) {
    return static_cast<double>(n) > least * all.ops ? "enough" : "too few";
  };
  std::printf("acked %s, nacked %s, failed %s\n", share(all.acked, 0.5), share(all.nacked, 0.02),
              share(all.failed, 0.005));
  std::printf("second tries %s, fences %s, proofs %s, answers dropped %s, lost with a life %s\n",
              share(all.second, 0.005), share(all.fenced, 0.005), share(all.proven, 0.003),
              share(all.dropped, 0.001), share(all.lost, 0.002));
  std::printf("former homes asked %s, answered by them %s\n", share(all.asked, 0.005),
              share(all.known, 0.001));
}

// ---- A forwarder's acts, told one by one.
struct Told : DispatchHost {
  void send(int planner, Attempt attempt, OpId op, double left, bool known_only) override {
    std::printf("  %s op %d as %d to p%d, %.2f s left\n", known_only ? "ask about" : "send",
                static_cast<int>(op), static_cast<int>(attempt), planner, left);
  }
  void cancel(int planner, Attempt attempt) override {
    std::printf("  cancel %d at p%d\n", static_cast<int>(attempt), planner);
  }
  void fence(int planner, Attempt attempt) override {
    std::printf("  fence %d at p%d\n", static_cast<int>(attempt), planner);
  }
  void reply(OpId op, Reply how, double come_back_in, bool no_retry) override {
    std::printf("  op %d: %s", static_cast<int>(op), how == Reply::kNacked ? "nacked" : "failed");
    if (how == Reply::kNacked)
      std::printf(", back in %.2f s%s", come_back_in, no_retry ? ", nowhere else" : "");
    std::printf("\n");
  }
  void wake_at(double time) override { next = time; }
  double next = 0;
};

void dispatch() {
  Told told;
  DispatchTerms terms;
  terms.picker.slow_start = 0;
  terms.retry_burst = 3;
  terms.retry_share = 0;
  terms.line_ops = 2;
  Dispatch d(
      terms, 1, {"p0", "p1"}, told, [] { return 0.5; }, 0);
  double now = 0;
  const auto op = [&](OpId id, double left, double importance = 1, std::uint64_t mark = 0) {
    ForwardOp o;
    o.id = id, o.left = left, o.importance = importance, o.mark = mark, o.bytes = 10;
    d.on_op(o, now);
  };
  const auto answer = [&](int planner, std::uint64_t epoch, Attempt attempt, AnswerKind how,
                          bool no_retry = false) {
    const auto over = d.on_answer(planner, epoch, attempt, how, 0.3, no_retry, now);
    std::printf("  answer to %d: %s\n", static_cast<int>(attempt),
                over ? ("op " + std::to_string(*over) + " is over").c_str() : "nothing is passed on");
  };
  const auto until = [&](double time) {
    while (told.next > now && told.next <= time) now = told.next, told.next = 0, d.on_wake(now);
    now = time;
  };
  std::printf("no planner yet\n");
  op(1, 1);
  std::printf("one comes up, with room for two\n");
  d.on_link_up(0, 100, 2, now);
  op(2, 1), op(3, 1), op(4, 1);
  std::printf("a more important one finds the line full, then an equal one\n");
  op(5, 1), op(6, 1, 3), op(7, 1);
  std::printf("the other comes up: who waits goes there\n");
  d.on_link_up(1, 200, 2, now);
  std::printf("acked, by the wrong life, by the right one\n");
  answer(0, 99, 1, AnswerKind::kAcked);
  answer(0, 100, 1, AnswerKind::kAcked);
  std::printf("nacked, and the other has no room\n");
  answer(0, 100, 2, AnswerKind::kNacked);
  std::printf("nacked, the other has room\n");
  answer(1, 200, 3, AnswerKind::kNacked);
  std::printf("nacked there as well\n");
  answer(0, 100, 5, AnswerKind::kNacked);
  std::printf("nacked, and nowhere else\n");
  answer(1, 200, 4, AnswerKind::kNacked, true);
  std::printf("a planner that does not answer in half of the time is asked for proof\n");
  now = 10;
  d.on_wake(now);
  op(20, 2);
  until(11.2);
  answer(0, 100, 7, AnswerKind::kRunning);
  answer(1, 200, 7, AnswerKind::kRunning);
  until(12.5);
  std::printf("proven: tried elsewhere\n");
  now = 20;
  op(21, 2);
  until(21.2);
  answer(0, 100, 8, AnswerKind::kNeverRan);
  answer(1, 200, 8, AnswerKind::kNeverRan);
  std::printf("the budget of second tries is used up\n");
  until(30);
  op(22, 2);
  answer(0, 100, 10, AnswerKind::kNacked);
  answer(1, 200, 10, AnswerKind::kNacked);
  std::printf(
      "a link is lost: what never left goes elsewhere if it may, the rest waits for proof, then fails\n");
  op(23, 5), op(24, 5);
  d.on_link_lost(0, {11}, now);
  d.on_link_lost(1, {}, now);
  op(25, 5);
  until(30.9);
  std::printf("back in the same life, and the other in a new one\n");
  d.on_link_up(1, 200, 2, now);
  d.on_link_up(0, 101, 2, now);
  until(33);
  std::printf("lost, and not back in time\n");
  op(26, 5);
  d.on_link_lost(0, {}, now);
  d.on_link_lost(1, {}, now);
  until(36);
  std::printf("keyed ops go to one planner or nowhere\n");
  d.on_link_up(0, 101, 1, now);
  for (std::uint64_t mark = 1; mark <= 4; ++mark) op(30 + mark, 0.2, 1, mark);
  std::printf("callers go; the notice to leave; late comers\n");
  d.on_gone(31, now), d.on_gone(32, now), d.on_gone(33, now), d.on_gone(34, now);
  op(40, 5);
  d.on_leave(2, 0.3, now);
  now += 0.4;
  op(41, 5);
  until(39);
  std::printf("open at the end: %zu\n", d.open());
}

// What waits for a planner that goes: told at once.
void waiting() {
  Told told;
  DispatchTerms terms;
  terms.picker.slow_start = 0;
  Dispatch d(
      terms, 1, {"p0", "p1"}, told, [] { return 0.5; }, 0);
  const auto op = [&](OpId id, std::uint64_t mark, double now) {
    ForwardOp o;
    o.id = id, o.left = 5, o.mark = mark, o.bytes = 10;
    d.on_op(o, now);
  };
  d.on_link_up(0, 7, 1, 0);
  d.on_link_up(1, 7, 1, 0);
  std::printf("two go, a keyed one and a plain one wait\n");
  op(1, 0, 0), op(2, 0, 0), op(3, 1, 0), op(4, 0, 0);
  std::printf("a planner answers what the other was given\n");
  const bool believed =
      d.on_answer(d.attempts().find(1)->planner == 0 ? 1 : 0, 7, 1, AnswerKind::kAcked, 0, false, 0)
          .has_value();
  std::printf("  believed: %s\n", believed ? "yes" : "no");
  std::printf("both leave\n");
  d.on_no_more(0, 0.1);
  d.on_no_more(1, 0.1);
  op(5, 0, 0.1);
  std::printf("back, and full; a link is lost under a keyed one that waits\n");
  d.on_link_up(0, 8, 1, 0.2);
  d.on_link_up(1, 8, 1, 0.2);
  op(6, 0, 0.2), op(7, 0, 0.2), op(8, 1, 0.2);
  d.on_link_lost(0, {}, 0.3);
  d.on_link_lost(1, {}, 0.3);
  std::printf("a keyed one whose planner is no longer wanted goes to the other\n");
  d.on_wake(5);
  d.on_link_up(0, 8, 4, 6);
  d.on_link_up(1, 8, 4, 6);
  op(9, 1, 6);
  d.set_planners({d.attempts().find(*d.attempts().in_hand(9))->planner == 0 ? "p1" : "p0"}, 6);
  op(10, 1, 6);
  std::printf("room comes free twice a second: four ahead leave no time for one of a second\n");
  Dispatch slow(
      terms, 1, {"p0"}, told, [] { return 0.5; }, 0);
  slow.on_link_up(0, 9, 1, 0);
  for (OpId id = 1; id <= 12; ++id) {
    ForwardOp o;
    o.id = 100 + id, o.left = 20, o.bytes = 10;
    slow.on_op(o, 0);
  }
  for (Attempt attempt = 1; attempt <= 8; ++attempt)
    slow.on_answer(0, 9, attempt, AnswerKind::kAcked, 0, false, 0.5 * static_cast<double>(attempt));
  ForwardOp late;
  late.id = 200, late.left = 1, late.bytes = 10;
  slow.on_op(late, 4.1);
  std::printf("the notice to leave, and one that comes in its grace\n");
  d.on_leave(2, 0.3, 7);
  op(11, 0, 7.1);
  d.on_wake(8.79);
  std::printf("just before the stop's margin: open %zu\n", d.open());
  d.on_wake(8.81);
  std::printf("and behind it: open %zu\n", d.open());
}

// ---- The picker on its own.
std::vector<std::string> names(int count) {
  std::vector<std::string> out;
  for (int i = 0; i < count; ++i) out.push_back("10.0.0." + std::to_string(i + 1) + ":7000");
  return out;
}

void picker() {
  pcg32 random(5);
  const auto chance = [&] { return random() / 4294967296.0; };
  PickerTerms terms;
  terms.slow_start = 0;
  {  // A subject stays where it is while planners come and go.
    Picker five(terms, names(5));
    for (int i = 0; i < 5; ++i) five.up(i, 100, 0);
    std::map<std::uint64_t, int> before;
    for (std::uint64_t key = 1; key <= 5000; ++key) before[key] = *five.pick(key, 1, chance);
    five.down(2);
    int moved = 0, of_it = 0;
    for (const auto& [key, planner] : before) {
      of_it += planner == 2;
      moved += planner != 2 && *five.pick(key, 1, chance) != planner;
    }
    std::printf("subjects of a planner that went: about a fifth %s; of others moved: %d\n",
                of_it > 850 && of_it < 1150 ? "yes" : "no", moved);
  }
  {  // Half of all ops are of one subject: no planner is far above the mean.
    Picker four(terms, names(4));
    for (int i = 0; i < 4; ++i) four.up(i, 100, 0);
    std::deque<int> open;
    double worst = 0;
    for (int i = 0; i < 20000; ++i) {
      const int to = *four.pick(random() % 2 ? 7 : 1 + random() % 1000, 1, chance);
      four.sent(to);
      open.push_back(to);
      if (open.size() > 80) four.ended(open.front(), Ended::kServed, 0.01, 1), open.pop_front();
      if (open.size() >= 80) worst = std::max(worst, four.open(to) / 20.0);
    }
    std::printf("a hot subject: most at one planner within 1.35 x the mean: %s\n",
                worst <= 1.35 ? "yes" : "no");
  }
  {  // Without subjects the emptier of two.
    Picker eight(terms, names(8));
    for (int i = 0; i < 8; ++i) eight.up(i, 100, 0);
    int most = 0;
    for (int i = 0; i < 400; ++i) {
      const int to = *eight.pick(0, 1, chance);
      eight.sent(to);
      most = std::max(most, eight.open(to));
    }
    std::printf("400 ops over 8 by the better of two: at most %s\n", most <= 54 ? "54" : "more");
  }
  {
    PickerTerms slow;
    Picker two(slow, names(2));
    two.up(0, 100, -100);
    two.up(1, 100, 0);
    std::printf("slow start: room of 100 after 0, 0.5, 1, 1.5 s: %d, %d, %d, %d\n", two.credits(1, 0),
                two.credits(1, 0.5), two.credits(1, 1), two.credits(1, 1.5));
  }
  {  // Outliers go, for longer each time, but never more than half.
    Picker four(terms, names(4));
    for (int i = 0; i < 4; ++i) four.up(i, 1000, 0);
    const auto round = [&](int planner, Ended how, double took, double now) {
      for (int i = 0; i < 20; ++i) four.sent(planner), four.ended(planner, how, took, now);
    };
    for (const int sound : {0, 1, 2}) round(sound, Ended::kServed, 0.02, 1);
    round(3, Ended::kBad, 0.5, 1);
    std::printf("one fails: left out %s\n", four.ejected(3, 1) ? "yes" : "no");
    for (int i = 0; i < 20; ++i) round(2, Ended::kNacked, 0.001, 1);
    std::printf("a second nacks everything: left out %s\n", four.ejected(2, 1) ? "yes" : "no");
    round(1, Ended::kBad, 1, 1);
    round(1, Ended::kBad, 1, 1);
    round(1, Ended::kBad, 1, 1);
    std::printf("a third fails: left out %s, so many %d of 4\n", four.ejected(1, 1) ? "yes" : "no",
                four.ejected_now(1));
    double back = 1;
    while (four.ejected(3, back)) back += 0.25;
    round(3, Ended::kBad, 0.5, back);
    double again = back;
    while (four.ejected(3, again)) again += 0.25;
    std::printf("left out for %.0f s, then for %.0f s\n", back - 1, again - back);
    Picker all(terms, names(2));
    for (int i = 0; i < 2; ++i) all.up(i, 1000, 0);
    for (int i = 0; i < 64; ++i) {
      for (int p = 0; p < 2; ++p) all.sent(p), all.ended(p, Ended::kBad, 1, 1);
    }
    std::printf("all fail alike: left out %d\n", all.ejected_now(1));
    Picker lag(terms, names(3));
    for (int i = 0; i < 3; ++i) lag.up(i, 1000, 0);
    for (int i = 0; i < 20; ++i) {
      for (int p = 0; p < 3; ++p) lag.sent(p), lag.ended(p, Ended::kServed, p == 1 ? 0.5 : 0.05, 1);
    }
    std::printf("one is ten times slower: left out %s\n", lag.ejected(1, 1) ? "yes" : "no");
    Picker choice(terms, names(2));
    for (int i = 0; i < 2; ++i) choice.up(i, 100, 0);
    const auto to_first = [&] {
      int first = 0;
      for (int i = 0; i < 100; ++i) first += *choice.pick(0, 1, chance) == 0;
      return first;
    };
    choice.window(0, 100, 3, true), choice.window(1, 100, 1, true);
    std::printf("the first's next slot is worth more: it gets %d of 100\n", to_first());
    choice.window(0, 100, 1, true), choice.window(1, 100, 1, false);
    std::printf("the second is not well: the first gets %d of 100\n", to_first());
    choice.leaving(0);
    std::printf("and leaves: it gets %d of 100\n", to_first());
    choice.remove(1);
    std::printf("and nobody wants the second: %s\n", choice.pick(0, 1, chance) ? "picked" : "none");
  }
}

// ---- The line and the outlook.
void line() {
  Line waits(6, 10000);
  for (OpId id = 1; id <= 4; ++id) waits.enter(id, 1, 1, 10);  // a heavy caller
  waits.enter(5, 1, 2, 10);
  waits.enter(6, 3, 1, 10);
  std::printf("ahead of one of importance 1: %zu, of 3: %zu\n", waits.ahead(1), waits.ahead(3));
  const auto goes = waits.enter(7, 3, 3, 10);
  std::printf("full: op %llu goes for op 7\n", static_cast<unsigned long long>(goes.value_or(0)));
  const auto self = waits.enter(8, 0.5, 4, 10);
  std::printf("one of less importance than all: op %llu goes\n",
              static_cast<unsigned long long>(self.value_or(0)));
  std::printf("in turn:");
  while (const auto id = waits.next())
    waits.leave(*id), std::printf(" %llu", static_cast<unsigned long long>(*id));
  std::printf("; left over %zu ops, %zu bytes\n", waits.size(), waits.bytes());
  Line small(100, 100);
  small.enter(1, 1, 1, 60);
  std::printf("bytes full: op %llu goes\n",
              static_cast<unsigned long long>(small.enter(2, 1, 2, 60).value_or(0)));
}

void outlook() {
  Outlook sees({}, 2, 0);
  sees.some_planner(0);
  sees.busy(true, 0);
  std::printf("nothing known, 50 ahead, 0.1 s left: %s\n", sees.in_time(0, 50, 0.1, 0.1) ? "may" : "no");
  for (int i = 1; i <= 300; ++i) sees.room_came_free(i * 0.01), sees.served(0, 0.05);  // 100 a second
  std::printf("100 a second, 40 ahead, 0.3 s left: %s, 0.8 s left: %s\n",
              sees.in_time(0, 40, 0.3, 3) ? "may" : "no", sees.in_time(0, 40, 0.8, 3) ? "may" : "no");
  std::printf("a type that nothing is known of, none ahead, 0.03 s left: %s\n",
              sees.in_time(1, 0, 0.03, 3) ? "may" : "no");
  std::printf("come back behind 40: %.2f to %.2f s\n", sees.come_back(40, 3, 0),
              sees.come_back(40, 3, 0.999));
  sees.busy(false, 3);
  std::printf("after a calm of 60 s, 40 ahead, 0.8 s left: %s\n",
              sees.in_time(0, 40, 0.8, 63) ? "may" : "no");
  sees.busy(true, 63);
  std::printf("and nothing comes free for 3 s: %s\n", sees.in_time(0, 40, 0.8, 66) ? "may" : "no");
  sees.no_planner(3);
  std::printf(
      "no planner: healthy after 0.5 s %s, after 1.5 s %s; come back after 0.5 s about %.2f, 5 s %.2f\n",
      sees.healthy(3.5) ? "yes" : "no", sees.healthy(4.5) ? "yes" : "no", sees.come_back(0, 3.5, 0.5),
      sees.come_back(0, 8, 0.5));
  RetryBudget budget(0.1, 3);
  int taken = 0;
  for (int i = 0; i < 1000; ++i) budget.first_try(), taken += budget.take();
  std::printf("second tries of 1000 first ones at a tenth: %s\n", taken <= 104 ? "within" : "over");
  std::printf("windows of 4 cores for 1, 4, 40 links: %u, %u, %u\n", window_of(4, 1), window_of(4, 4),
              window_of(4, 40));
}

// ---- What a planner holds.
void holdings() {
  const auto text = [](wt::Result result) {
    const char* names[] = {"acked",    "nacked",    "failed",  "unknown",
                           "conflict", "never ran", "running", "forgotten"};
    return names[static_cast<int>(result)];
  };
  Holdings holds({0.75, 1024, 2, 3});
  const auto f = holds.hello("f1", 7, 1).forwarder;
  bool started = false;
  const auto fence = [&](std::uint64_t attempt) {
    const auto proof = holds.fence(f, attempt, [&](OpId) { return started; });
    std::printf("fence %llu: %s%s\n", static_cast<unsigned long long>(attempt), text(proof.answer.result),
                proof.drop ? ", its op is dropped" : "");
  };
  holds.submit(f, 1, 101, 0);
  fence(1);
  holds.submit(f, 2, 102, 0);
  started = true;
  fence(2);
  fence(5);
  std::printf("submitted all the same: %s\n",
              holds.submit(f, 5, 105, 0) == Holdings::Taking::kFenced ? "fenced off" : "taken");
  holds.link_lost(1, 10);
  wt::Answer answer;
  answer.attempt = 2;
  answer.result = wt::Result::kAcked;
  answer.body = "done";
  std::printf("answered while away: to link %llu\n",
              static_cast<unsigned long long>(holds.answered(f, answer)));
  const auto back = holds.hello("f1", 7, 2);
  std::printf("back in the same life: known %s, lost %zu\n", back.forwarder == f ? "yes" : "no",
              back.gone.size());
  fence(2);
  for (std::uint64_t i = 10; i < 30; ++i) {
    holds.submit(f, i, 100 + i, 0);
    answer.attempt = i;
    holds.answered(f, answer);
  }
  fence(2);
  fence(29);
  holds.hello("f2", 1, 9);
  std::printf("a second forwarder halves what is kept\n");
  fence(23);
  for (std::uint64_t i = 40; i < 43; ++i) holds.submit(f, i, 100 + i, 0);
  std::printf("a fourth open one: %s\n",
              holds.submit(f, 43, 143, 0) == Holdings::Taking::kTooMany ? "too many" : "taken");
  const auto anew = holds.hello("f1", 8, 3);
  std::printf("a new life: known %s, old link %llu, ops without a caller %zu\n",
              anew.forwarder == f ? "yes" : "no", static_cast<unsigned long long>(anew.old_link),
              anew.gone.size());
  holds.submit(anew.forwarder, 1, 201, 0);
  std::printf("its numbers begin anew: open %zu\n", holds.open());
  holds.link_lost(3, 20);
  std::printf("away for 0.5 s: %zu ops gone, for 0.8 s: %zu\n", holds.expired(20.5).size(),
              holds.expired(20.8).size());
  holds.hello("a", 1, 4), holds.hello("b", 1, 5);
  std::printf("a third forwarder of two: %s\n", holds.hello("c", 1, 6).forwarder == 0 ? "no room" : "taken");
  holds.link_lost(4, 30);
  const auto third = holds.hello("c", 1, 6).forwarder;
  std::printf("where one of them is away: %s\n", third == 0 ? "no room" : "taken");
  answer.attempt = 77;
  std::printf("an answer to what was never taken: to link %llu\n",
              static_cast<unsigned long long>(holds.answered(third, answer)));
}

// The longest result that a runtime may give passes whole; nothing longer is read.
void frames() {
  wt::Answer answer;
  answer.attempt = 1;
  answer.result = wt::Result::kAcked;
  answer.body.assign(64 * 1024, 'r');
  const wt::Taken taken = wt::next_message(wt::encode(answer));
  const auto* back = std::get_if<wt::Answer>(&taken.message);
  std::printf("a result of 64 KiB: %s\n",
              taken.state == wt::Framing::kFrame && back->body == answer.body ? "whole" : "not whole");
  const auto state = [](const std::string& bytes) {
    const wt::Framing framing = wt::next_message(bytes).state;
    return framing == wt::Framing::kBroken  ? "broken"
           : framing == wt::Framing::kFrame ? "read"
                                            : "waits for more";
  };
  std::printf("a frame that says 16 MiB: %s\n", state(std::string("\x01\0\0\0\x05", 5)));
  std::printf("an unknown kind: %s\n", state(std::string("\0\0\0\0\x63", 5)));
  std::string ping = wt::encode(wt::Ping{7});
  std::printf("a ping: %s, without its last byte: %s\n", state(ping), state(ping.substr(0, ping.size() - 1)));
  ping[3] = 7;
  std::printf("one that ends within its field: %s\n", state(ping));
}

// Where keys belong while lists change.
void homes() {
  const std::vector<std::pair<int, std::string>> three = {{0, "p1"}, {1, "p2"}, {2, "p3"}},
                                                 four = {{0, "p1"}, {1, "p2"}, {2, "p3"}, {3, "p4"}},
                                                 two = {{0, "p1"}, {2, "p3"}};
  constexpr std::uint64_t kMarks = 4000;
  const auto tell = [](const char* when, const Homes& homes, double now) {
    int asks = 0, barred = 0, twice = 0, none = 0;
    std::vector<int> at(4);
    for (std::uint64_t mark = 1; mark <= kMarks; ++mark) {
      const Way way = homes.way(mark, now);
      asks += !way.ask.empty(), barred += !way.may_run, twice += way.ask.size() > 1, none += way.home < 0;
      if (way.home >= 0) ++at[static_cast<std::size_t>(way.home)];
      if (std::find(way.ask.begin(), way.ask.end(), way.home) != way.ask.end())
        std::printf("asks where it belongs\n");
    }
    std::printf(
        "%-32s %4.0f%% %4.0f%% %4.0f%% %4.0f%%, asked first %3.0f%%, of two %3.0f%%, not yet %3.0f%%%s\n",
        when, at[0] * 100.0 / kMarks, at[1] * 100.0 / kMarks, at[2] * 100.0 / kMarks, at[3] * 100.0 / kMarks,
        asks * 100.0 / kMarks, twice * 100.0 / kMarks, barred * 100.0 / kMarks, none > 0 ? ", nowhere" : "");
  };
  Homes homes({2, 10});
  homes.list(three, 0);
  tell("three", homes, 0);
  homes.list(four, 100);
  tell("a fourth one", homes, 100);
  tell("not all may know it yet", homes, 101.9);
  tell("all know it", homes, 102);
  tell("the last may be remembered", homes, 111.9);
  tell("over", homes, 112);
  homes.list(two, 200);
  tell("two of them go", homes, 200);
  homes.list(three, 203);
  tell("one is back", homes, 203);
  tell("the later change is in force", homes, 205);
  tell("the first one is over", homes, 212);
  tell("both are", homes, 215);
  std::printf("settled at %.0f; p2 may be asked at 211 %s, p4 at 212 %s\n", homes.settled_at(),
              homes.may_be_asked(1, 211) ? "yes" : "no", homes.may_be_asked(3, 212) ? "yes" : "no");
  homes.list({}, 300);
  tell("nobody", homes, 300);
  Homes again({2, 10});
  again.former(two, 295);
  again.list(three, 300);
  tell("another list before the start", again, 300);
  Homes blind({2, 10});
  blind.list(three, 0);
  blind.unknown_before(0);
  tell("nobody knows what was before", blind, 11.9);
  tell("and nothing matters of it now", blind, 12);
  Homes restless({2, 10});
  for (int i = 0; i < 10; ++i) restless.list(i % 2 ? three : four, i);
  tell("more lists than are kept", restless, 9);
  tell("the first of them is over", restless, 14);
  Homes plain({2, 0});
  plain.list(three, 0);
  plain.list(four, 1);
  tell("nothing is ever remembered", plain, 1);
}

// The lists as they are kept.
void lists() {
  ListsRecord record{{"10.0.0.1:7100", "10.0.0.2:7100"}, {{1000.5, {"10.0.0.1:7100"}}, {2000, {}}}};
  const std::string bytes = encode(record);
  const auto read = decode_lists(bytes);
  std::printf("whole: %s\n", read && read->in_force == record.in_force && read->former.size() == 2 &&
                                     read->former[0].until == 1000.5 &&
                                     read->former[0].planners == record.former[0].planners
                                 ? "yes"
                                 : "no");
  int taken = 0, other = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (decode_lists(std::string_view(bytes).substr(0, i))) ++taken;
    for (int bit = 0; bit < 8; ++bit) {
      std::string spoilt = bytes;
      spoilt[i] = static_cast<char>(spoilt[i] ^ (1 << bit));
      const auto got = decode_lists(spoilt);
      other += got && encode(*got).size() > kMostListsBytes;
    }
  }
  std::printf("cut short and taken: %d; spoilt and out of bounds: %d\n", taken, other);
  record.former.assign(20, {1, {"a"}});
  for (std::size_t i = 0; i < 20; ++i) record.former[i].until = static_cast<double>(i);
  const auto newest = decode_lists(encode(record));
  std::printf("of twenty former ones %zu are kept, from %.0f on\n", newest->former.size(),
              newest->former.front().until);
  record.former.clear();
  record.in_force.assign(65, "a");
  std::printf("65 planners: %s\n", decode_lists(encode(record)) ? "taken" : "no list");
  record.in_force = {std::string(256, 'a')};
  std::printf("an address of 256 bytes: %s\n", decode_lists(encode(record)) ? "taken" : "no list");
  record.in_force = {""};
  std::printf("an empty one: %s\n", decode_lists(encode(record)) ? "taken" : "no list");
  std::string many =
      "\xa2\x68in_force\x80\x66"
      "former\x91";  // CBOR: no list in force, 17 former ones
  for (int i = 0; i < 17; ++i) many += "\xa2\x65until\x01\x68planners\x80";
  std::printf("17 former ones: %s", decode_lists(many) ? "taken" : "no list");
  many[18] = '\x90', many.resize(many.size() - 18);
  std::printf("; 16: %s\n", decode_lists(many) ? "taken" : "no list");
  record = {{"a"}, {{std::nan(""), {"b"}}}};
  std::printf("a time that is none: %s\n", decode_lists(encode(record)) ? "taken" : "no list");
}

// Keyed ops while the list changes, told one by one.
void moving() {
  Told told;
  DispatchTerms terms;
  terms.picker.slow_start = 0;
  terms.homes = {2, 10};
  Dispatch d(
      terms, 1, {"p0", "p1"}, told, [] { return 0.5; }, 0);
  d.on_link_up(0, 7, 1, 0);
  d.on_link_up(1, 7, 1, 0);
  Homes before({2, 10});
  before.list({{0, "p0"}, {1, "p1"}}, 0);
  std::uint64_t stays = 0, moves = 0;  // keys of p0 and p1
  for (std::uint64_t mark = 1; stays == 0 || moves == 0; ++mark)
    (before.way(mark, 0).home == 0 ? stays : moves) = mark;
  double now = 0;
  const auto op = [&](OpId id, std::uint64_t mark, double left = 1) {
    ForwardOp o;
    o.id = id, o.left = left, o.mark = mark, o.bytes = 10;
    d.on_op(o, now);
  };
  const auto answer = [&](int planner, Attempt attempt, AnswerKind how) {
    const auto over = d.on_answer(planner, 7, attempt, how, 0.3, false, now);
    std::printf("  answer to %d: %s\n", static_cast<int>(attempt),
                over ? ("op " + std::to_string(*over) + " is over").c_str() : "nothing is passed on");
  };
  std::printf("one runs at p1, one waits for it; then p1 is taken off the list\n");
  op(1, moves), op(2, moves);
  d.set_planners({"p0"}, now = 0.1);
  std::printf("whether p1 could be let go of with those open, whenever: %s\n",
              d.done_with(1, 99) ? "yes" : "no");
  std::printf("p1 answers the first, and that it does not know the second: nothing new may run yet\n");
  answer(1, 1, AnswerKind::kAcked);
  answer(1, 2, AnswerKind::kNotKnown);
  std::printf("a key that stays, and plain ones, go to p0\n");
  op(3, stays), op(4, 0);
  answer(0, 3, AnswerKind::kAcked);
  answer(0, 4, AnswerKind::kAcked);
  std::printf("all have the list: asked first, and known\n");
  now = 3;
  op(5, moves);
  answer(1, 5, AnswerKind::kAcked);
  std::printf("asked first, not known, run at p0\n");
  op(6, moves);
  answer(1, 6, AnswerKind::kNotKnown);
  answer(0, 7, AnswerKind::kAcked);
  std::printf("a plain nack is no answer to the question\n");
  op(7, moves);
  answer(1, 8, AnswerKind::kNacked);
  std::printf("asked by a list that is no longer in force: asked anew\n");
  op(8, moves);
  d.set_planners({"p0", "p2"}, now = 3.1);
  answer(1, 9, AnswerKind::kNotKnown);
  answer(0, 10, AnswerKind::kNotKnown);
  answer(1, 11, AnswerKind::kNotKnown);
  std::printf("whether p1 can be let go of: %s, later: %s\n", d.done_with(1, now) ? "yes" : "no",
              d.done_with(1, 13) ? "yes" : "no");
  std::printf("who would have to be asked is not there: nobody may run it\n");
  now = 6;
  d.on_link_lost(1, {}, now);
  op(9, moves);
  answer(0, 12, AnswerKind::kNotKnown);
  std::printf(
      "nothing can be remembered any more; what is said to a question that was none counts for nothing\n");
  now = 30;
  d.on_link_up(2, 7, 1, now);
  op(10, moves);
  answer(2, 13, AnswerKind::kNotKnown);
  std::printf("open at the end: %zu\n", d.open());
}

// A planner acks the numbers after the last that it has read, while the next four are on their way to it.
struct Numbers : DispatchHost {
  void send(int, Attempt attempt, OpId, double, bool) override { sent.push_back(attempt); }
  void cancel(int, Attempt) override {}
  void fence(int, Attempt) override {}
  void reply(OpId, Reply, double, bool) override {}
  void wake_at(double) override {}
  std::vector<Attempt> sent;
};
void guessed() {
  for (const std::uint64_t steps : {1, 1 << 24}) {
    Numbers numbers;
    DispatchTerms terms;
    terms.picker.slow_start = 0;
    terms.number_steps = steps;
    pcg64 random(9);
    Dispatch d(
        terms, 1, {"p0"}, numbers, [&] { return std::ldexp(static_cast<double>(random() >> 11), -53); }, 0);
    d.on_link_up(0, 7, 8, 0);
    const auto answer = [&](Attempt attempt) {
      return d.on_answer(0, 7, attempt, AnswerKind::kAcked, 0, false, 0).has_value();
    };
    int believed = 0, truly = 0;
    Attempt read = 0;
    for (OpId id = 1; id <= 4000; ++id) {
      ForwardOp op;
      op.id = id, op.left = 1;
      d.on_op(op, 0);
      if (id % 4 != 0) continue;
      for (Attempt guess = read + 1; guess <= read + 100; ++guess) believed += answer(guess);
      for (const Attempt attempt : numbers.sent) truly += answer(read = attempt);
      numbers.sent.clear();
    }
    std::printf("steps of at most %d: %s of 4000 false answers were believed, %s of the true ones\n",
                static_cast<int>(steps), believed == 0 ? "none" : "some", truly == 4000 ? "all" : "not all");
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {
      {"histories", histories}, {"picker", picker},   {"line", line},     {"outlook", outlook},
      {"homes", homes},         {"lists", lists},     {"moving", moving}, {"holdings", holdings},
      {"dispatch", dispatch},   {"waiting", waiting}, {"frames", frames}, {"guessed", guessed}};
  if (argc == 4 && std::strcmp(argv[1], "history") == 0) {
    History history(std::strtoull(argv[2], nullptr, 10) * 1000 + std::strtoull(argv[3], nullptr, 10),
                    std::atoi(argv[3]), true);
    std::printf("%s\n", history.play().c_str());
    return 0;
  }
  for (const auto& [name, play] : kScenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) return play(), 0;
  }
  std::fprintf(stderr, "usage: tier SCENARIO, or tier history SEED OPS\n");
  return 2;
}

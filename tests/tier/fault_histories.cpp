// Two levels without sockets: forwarders' decisions against planners' holdings over links that delay, break
// and lose, in seeded histories. CTest compares with tests/traces/tier_histories.txt. usage: tier_histories -
// histories, or tier_histories history SEED REQUESTS
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

#include "scenarios.h"
#include "tier/dispatch.h"
#include "tier/forwarder_sessions.h"

using namespace damsonspoke;
using namespace damsonspoke::tier;
namespace wt = damsonspoke::wire::tier;

namespace {

enum class Manner { kSound, kMute, kRejections, kSlow };

class History {
 public:
  History(std::uint64_t seed, int requests, bool tell) : random_(seed), max_requests_(requests), tell_(tell) {
    for (int p = 0; p < kPlanners; ++p) {
      planners_.push_back(std::make_unique<Planner>());
      begin_life(p);
    }
    for (int f = 0; f < kForwarders; ++f) forwarders_.push_back(std::make_unique<Forwarder>(*this, f));
    for (int f = 0; f < kForwarders; ++f) {
      for (int p = 0; p < kPlanners; ++p) at(chance() * 0.05, [this, f, p] { connect(f, p); });
    }
    at(0.02, [this] { next_request(); });
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
      for (const auto& [id, request] : requests_) {
        if (request.answers == 0 && !request.gone) fail("op " + std::to_string(id) + " was never answered");
      }
    }
    return broken_;
  }

  struct Totals {
    int requests = 0, succeeded = 0, rejected = 0, failed = 0, second = 0, fenced = 0, proven = 0,
        dropped = 0, lost = 0, asked = 0, known = 0;
  };
  Totals totals() const {
    Totals t;
    for (const auto& [id, request] : requests_) {
      ++t.requests;
      t.succeeded += request.succeeded;
      t.rejected += request.rejected;
      t.failed += request.failed;
    }
    for (const auto& f : forwarders_) {
      const DispatchCounters& c = f->dispatch.counters();
      t.second += static_cast<int>(c.retries);
      t.fenced += static_cast<int>(c.fences);
      t.proven += static_cast<int>(c.proven_not_run);
      t.dropped += static_cast<int>(c.stale_answers);
      t.lost += static_cast<int>(c.lost_with_epoch);
      t.asked += static_cast<int>(c.key_lookups);
      t.known += static_cast<int>(c.key_lookup_hits);
    }
    return t;
  }

 private:
  static constexpr int kForwarders = 2, kPlanners = 4, kCores = 2;
  static constexpr double kWindow = 1, kSpread = 0.5,
                          kLongest = 1.3;         // s: of keys, of reloads, that a request waits
  static constexpr double kForwarderSilence = 1;  // s without a frame after which it gives a link up
  struct Event {
    double at = 0;
    std::uint64_t number = 0;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return at > other.at || (at == other.at && number > other.number);
    }
  };
  struct RequestSeen {
    double due = 0;
    int answers = 0, runs = 0;
    std::uint64_t mark = 0;
    bool gone = false, succeeded = false, rejected = false, failed = false;
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
    RequestId request = 0;
    ForwarderId forwarder = 0;
    Attempt attempt = 0;
    double due = 0;
  };
  // What a planner remembers of a key: in its store from when it runs.
  struct Memory {
    RequestId request = 0;
    double admitted = 0;
    enum { kReserved, kRunning, kEnded, kUnknown } state = kReserved;
    std::vector<Held> waits;  // repeats
  };
  struct Planner {
    std::uint64_t epoch = 0;
    bool up = false;
    Manner manner = Manner::kSound;
    std::unique_ptr<ForwarderSessions> holdings;
    std::deque<Held> line;
    std::map<RequestId, Held> open;  // held and running
    std::map<std::uint64_t, Memory> memory;
    std::map<RequestId, bool> started;
    int running = 0;
  };
  struct Forwarder : DispatchSink {
    Forwarder(History& h, int n)
        : history(h),
          number(n),
          dispatch(
              terms(), 1, {"p1", "p2", "p3", "p4"}, *this, [&h] { return h.chance(); }, 0) {}
    static DispatchOptions terms() {
      DispatchOptions t;
      t.route_by_subject = true;
      t.startup_wait = 0.25;
      t.key_ownership = {kSpread + kLongest, kWindow + 2 * kLongest};
      return t;
    }
    void send(int planner, Attempt attempt, RequestId request, double left, bool known_only) override {
      wt::Submit submit;
      submit.lookup_only = known_only;
      submit.attempt = attempt;
      submit.request = request;
      submit.remaining_us = static_cast<std::uint32_t>(left * 1e6);
      const auto& picker = dispatch.picker();
      if (picker.open_attempts(planner) > static_cast<int>(window[planner]))
        history.fail("planner " + std::to_string(planner) + " was sent more than its window");
      history.note("f" + std::to_string(number) + " sends op " + std::to_string(request) + " as " +
                   std::to_string(attempt) + " to p" + std::to_string(planner));
      history.out(links[planner], submit, attempt);
    }
    void cancel(int planner, Attempt attempt) override { history.out(links[planner], wt::Cancel{attempt}); }
    void fence(int planner, Attempt attempt) override {
      history.note("f" + std::to_string(number) + " fences " + std::to_string(attempt));
      history.out(links[planner], wt::Fence{attempt});
    }
    void reply(RequestId request, LocalReply how, double, bool) override {
      history.answered(request, how == LocalReply::kRejected ? 'n' : 'f');
    }
    void schedule_wakeup(double time) override {
      if (time >= wake_time) return;  // it asks anew when it is woken
      wake_time = time;
      history.at(std::max(time, history.now_), [this, time] {
        if (wake_time != time) return;
        wake_time = 1e18;
        dispatch.on_timer(history.now_);
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
        if (f->dispatch.picker().open_attempts(p) != f->dispatch.attempts().open_attempts_at(p))
          fail("credits of f" + std::to_string(f->number) + " at p" + std::to_string(p) + ": " +
               std::to_string(f->dispatch.picker().open_attempts(p)) + " taken, " +
               std::to_string(f->dispatch.attempts().open_attempts_at(p)) + " attempts in hand");
      }
    }
  }

  // ---- Callers.
  void next_request() {
    if (static_cast<int>(requests_.size()) >= max_requests_) return;
    const RequestId id = requests_.size() + 1;
    ForwardedRequest request;
    request.id = id;
    request.caller = random_() % 5;
    request.subject = random_() % 3 == 0 ? 1 + random_() % 4 : 0;
    request.idempotency_key_hash = random_() % 5 == 0 ? 1 + random_() % 12 : 0;
    requests_[id].mark = request.idempotency_key_hash;
    request.priority_weight = random_() % 4 == 0 ? 3 : 1;
    request.remaining_time = 0.1 + chance() * 1.2;
    request.bytes = 100;
    requests_[id].due = now_ + request.remaining_time;
    const int f = static_cast<int>(random_() % kForwarders);
    note("op " + std::to_string(id) + " at f" + std::to_string(f));
    Dispatch& dispatch = forwarders_[static_cast<std::size_t>(f)]->dispatch;
    dispatch.on_request(request, now_);
    if (random_() % 40 == 0) {
      after(chance() * 0.3, [this, id, &dispatch] {
        if (requests_[id].answers > 0) return;
        note("caller of " + std::to_string(id) + " goes");
        requests_[id].gone = true;
        dispatch.on_caller_gone(id, now_);
      });
    }
    after(-std::log(1 - chance()) / 150, [this] { next_request(); });
  }
  void answered(RequestId id, char how) {
    RequestSeen& request = requests_[id];
    note("op " + std::to_string(id) + " is answered " + how);
    request.succeeded = how == 'a';
    request.rejected = how == 'n';
    request.failed = how == 'f';
    if (++request.answers > 1) fail("op " + std::to_string(id) + " was answered twice");
    if (request.gone) fail("op " + std::to_string(id) + " was answered to nobody");
    if (now_ > request.due + 1e-6) fail("op " + std::to_string(id) + " was answered late");
    if (how == 'n' && request.runs > 0) fail("op " + std::to_string(id) + " was nacked and had run");
    if (how == 'a' && request.runs == 0 && !ran_.contains(request.mark))
      fail("op " + std::to_string(id) + " was acked and had not run");
  }

  // ---- Links.
  void connect(int f, int p) {
    Forwarder& forwarder = *forwarders_[static_cast<std::size_t>(f)];
    if (!planners_[static_cast<std::size_t>(p)]->up)
      return after(0.05 + chance() * 0.1, [this, f, p] { connect(f, p); });
    auto link = std::make_shared<Link>();
    link->forwarder = f;
    link->planner = p;
    link->number = ++next_link_;
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
  // The planner hears of the break first. The forwarder goes on sending until it does too, so that the
  // planner may have given up the session long before the forwarder gives up its attempts.
  void lose_at_planner(const std::shared_ptr<Link>& link) {
    if (!link || !link->here || !link->there) return;
    note("p" + std::to_string(link->planner) + " loses the link of f" + std::to_string(link->forwarder));
    planner_loses(link);
    after(chance() * kForwarderSilence, [this, link] { break_link(link); });
  }
  void planner_loses(const std::shared_ptr<Link>& link) {
    if (!link->there) return;
    link->there = false;
    Planner& planner = *planners_[static_cast<std::size_t>(link->planner)];
    if (!planner.up) return;
    planner.holdings->on_link_lost(link->number, now_);
    links_[link->number] = nullptr;
    const int p = link->planner;
    const std::uint64_t epoch = planner.epoch;
    after(0.8, [this, p, epoch] {
      Planner& later = *planners_[static_cast<std::size_t>(p)];
      if (later.up && later.epoch == epoch) gone(later, later.holdings->take_expired(now_));
    });
  }
  // Where nothing of it has run, its key is free again, and its repeats are told so.
  void release(Planner& planner, RequestId request) {
    const auto found = planner.memory.find(requests_[request].mark);
    if (found == planner.memory.end() || found->second.request != request ||
        found->second.state != Memory::kReserved)
      return;
    const std::vector<Held> waits = std::move(found->second.waits);
    planner.memory.erase(found);
    for (const Held& held : waits) tell(planner, held, wt::Result::kRejected);
  }
  void gone(Planner& planner, const std::vector<RequestId>& requests) {
    for (const RequestId request : requests) {
      if (!planner.started[request]) release(planner, request);
      std::erase_if(planner.line, [&](const Held& held) { return held.request == request; });
      if (!planner.started[request]) planner.open.erase(request);
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
    planner.epoch = ++next_epoch_ << 32;  // far apart, as random ones are
    planner.holdings =
        std::make_unique<ForwarderSessions>(ForwarderSessionsOptions{0.75, 4096, 8, 64}, planner.epoch);
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
    planner.open.erase(held.request);
    wt::Answer answer;
    answer.attempt = held.attempt;
    answer.result = result;
    answer.retry_after_us = 100000;
    const std::uint64_t link = planner.holdings->record_answer(held.forwarder, answer);
    if (link != 0 && links_[link]) in(links_[link], answer);
  }
  void planner_hears(const std::shared_ptr<Link>& link, const wt::Message& message) {
    Planner& planner = *planners_[static_cast<std::size_t>(link->planner)];
    if (!planner.up) return;
    if (const auto* hello = std::get_if<wt::Hello>(&message)) {
      planner_hears_hello(planner, link, *hello);
    } else if (const auto* submit = std::get_if<wt::Submit>(&message)) {
      planner_hears_submit(planner, *link, *submit);
    } else if (const auto* cancel = std::get_if<wt::Cancel>(&message)) {
      if (const auto request = planner.holdings->cancel(link->known_as, cancel->attempt))
        gone(planner, {*request});
    } else if (const auto* fence = std::get_if<wt::Fence>(&message)) {
      const ForwarderSessions::FenceResult result = planner.holdings->fence(
          link->known_as, fence->attempt, [&](RequestId request) { return planner.started[request]; });
      if (result.abandoned) gone(planner, {*result.abandoned});
      in(link, result.answer);
    }
  }
  void planner_hears_hello(Planner& planner, const std::shared_ptr<Link>& link, const wt::Hello& hello) {
    const ForwarderSessions::SessionStart session =
        planner.holdings->open_session(hello.name, hello.epoch, link->number);
    if (session.superseded_link != 0 && links_[session.superseded_link])
      links_[session.superseded_link]->there = false;
    gone(planner, session.abandoned);
    link->known_as = session.forwarder;
    links_[link->number] = link;
    wt::Hello mine;
    mine.is_planner = true;
    mine.epoch = session.planner_epoch;
    mine.window = 8;
    in(link, mine);
  }
  void planner_hears_submit(Planner& planner, const Link& link, const wt::Submit& submit) {
    if (planner.holdings->submit(link.known_as, submit.attempt, submit.request, 0) !=
        ForwarderSessions::SubmitResult::kAccepted)
      return;
    const Held held{submit.request, link.known_as, submit.attempt, now_ + submit.remaining_us * 1e-6};
    if (planner.manner == Manner::kRejections || planner.open.contains(submit.request))
      return tell(planner, held, wt::Result::kRejected);
    if (requests_[held.request].mark != 0) {
      if (!reserve_key(planner, held, submit.lookup_only)) return;
    } else if (submit.lookup_only) {
      fail("op " + std::to_string(held.request) + " has no key and was asked about");
    }
    planner.open[held.request] = held;
    planner.line.push_back(held);
    run_more(link.planner);
  }
  // Whether the request may run: its key is not known yet, and it is no lookup. Otherwise it is answered, or
  // waits for the run of its key.
  bool reserve_key(Planner& planner, const Held& held, bool lookup_only) {
    const std::uint64_t mark = requests_[held.request].mark;
    const auto known = planner.memory.find(mark);
    const bool over = known != planner.memory.end() && known->second.state > Memory::kRunning &&
                      now_ >= known->second.admitted + kWindow;
    if (known != planner.memory.end() && !over) {
      if (known->second.state == Memory::kEnded) {
        tell(planner, held, wt::Result::kSucceeded);
      } else if (known->second.state == Memory::kUnknown) {
        tell(planner, held, wt::Result::kUnknown);
      } else {
        planner.open[held.request] = held;
        known->second.waits.push_back(held);
      }
      return false;
    }
    if (lookup_only) {
      tell(planner, held, wt::Result::kKeyUnknown);
      return false;
    }
    planner.memory[mark] = {held.request, now_, Memory::kReserved, {}};
    return true;
  }
  void run_more(int p) {
    Planner& planner = *planners_[static_cast<std::size_t>(p)];
    while (planner.manner != Manner::kMute && planner.running < kCores && !planner.line.empty()) {
      const Held held = planner.line.front();
      planner.line.pop_front();
      if (now_ > held.due) {
        release(planner, held.request);
        tell(planner, held, wt::Result::kRejected);
        continue;
      }
      start_run(p, held);
    }
  }
  void start_run(int p, const Held& held) {
    Planner& planner = *planners_[static_cast<std::size_t>(p)];
    planner.started[held.request] = true;
    ++planner.running;
    if (++requests_[held.request].runs > 1) fail("op " + std::to_string(held.request) + " ran twice");
    if (const std::uint64_t mark = requests_[held.request].mark; mark != 0) {
      Memory& memory = planner.memory.at(mark);
      memory.state = Memory::kRunning;
      const auto before = ran_.find(mark);
      if (before != ran_.end() && memory.admitted < before->second + kWindow)
        fail("key " + std::to_string(mark) + " ran twice within its window");
      ran_[mark] = memory.admitted;
    }
    if (requests_[held.request].rejected)
      fail("op " + std::to_string(held.request) + " ran after it was nacked");
    note("p" + std::to_string(p) + " runs op " + std::to_string(held.request));
    const std::uint64_t epoch = planner.epoch;
    const double takes = -std::log(1 - chance()) * 0.02 * (planner.manner == Manner::kSlow ? 10 : 1);
    after(takes, [this, p, epoch, held] { end_run(p, epoch, held); });
  }
  void end_run(int p, std::uint64_t epoch, const Held& held) {
    Planner& planner = *planners_[static_cast<std::size_t>(p)];
    if (planner.epoch != epoch) return;
    --planner.running;
    const bool good = random_() % 50 != 0;
    tell(planner, held, good ? wt::Result::kSucceeded : wt::Result::kFailed);
    if (const std::uint64_t mark = requests_[held.request].mark; mark != 0) {
      Memory& memory = planner.memory.at(mark);
      memory.state = good ? Memory::kEnded : Memory::kUnknown;
      for (const Held& wait : std::exchange(memory.waits, {}))
        tell(planner, wait, good ? wt::Result::kSucceeded : wt::Result::kUnknown);
    }
    run_more(p);
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
      if (answer->result == wt::Result::kSucceeded) kind = AnswerKind::kSucceeded;
      if (answer->result == wt::Result::kRejected) kind = AnswerKind::kRejected;
      if (answer->result == wt::Result::kNeverRan) kind = AnswerKind::kNeverRan;
      if (answer->result == wt::Result::kRunning) kind = AnswerKind::kRunning;
      if (answer->result == wt::Result::kOutcomeEvicted) kind = AnswerKind::kOutcomeEvicted;
      if (answer->result == wt::Result::kKeyUnknown) kind = AnswerKind::kKeyUnknown;
      const std::optional<RequestId> over = forwarder.dispatch.on_answer(
          p, epoch_of_[link->number], answer->attempt, kind, answer->retry_after_us * 1e-6, false, now_);
      if (over) answered(*over, kind == AnswerKind::kSucceeded ? 'a' : 'f');
    }
  }

  // ---- What goes wrong.
  void trouble() {
    const int p = static_cast<int>(random_() % kPlanners);
    switch (random_() % 9) {
      case 0: kill(p); break;
      case 1: {
        const bool all = random_() % 3 == 0;
        for (int i = 0; i < kPlanners; ++i) {
          if (all || i == p) kill(i);
        }
        break;
      }
      case 2: planners_[static_cast<std::size_t>(p)]->manner = Manner::kMute; break;
      case 3: planners_[static_cast<std::size_t>(p)]->manner = Manner::kRejections; break;
      case 4: planners_[static_cast<std::size_t>(p)]->manner = Manner::kSlow; break;
      case 5:
        for (const auto& planner : planners_) planner->manner = Manner::kSound;
        for (int i = 0; i < kPlanners; ++i) run_more(i);
        break;
      case 6: lose_at_planner(forwarders_[random_() % kForwarders]->links[p]); break;
      default: break_link(forwarders_[random_() % kForwarders]->links[p]);
    }
    if (static_cast<int>(requests_.size()) < max_requests_) after(chance() * 0.3, [this] { trouble(); });
  }

  // Another list of planners, which forwarders get one after the other.
  void relist() {
    std::vector<std::string> names;
    while (names.empty()) {
      for (int p = 0; p < kPlanners; ++p) {
        if (random_() % 3 != 0)
          names.push_back(std::string("p1 p2 p3 p4").substr(3 * static_cast<std::size_t>(p), 2));
      }
    }
    for (const auto& f : forwarders_) {
      after(chance() * kSpread, [this, &f, names] {
        note("f" + std::to_string(f->number) + " has a list of " + std::to_string(names.size()) + ", with " +
             names.front() + " first");
        f->dispatch.set_planners(names, now_);
      });
    }
    if (static_cast<int>(requests_.size()) < max_requests_)
      after(kSpread + chance() * 4, [this] { relist(); });
  }

  pcg32 random_;
  const int max_requests_;
  const bool tell_;
  double now_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0, next_link_ = 0, next_epoch_ = 0;
  std::vector<std::unique_ptr<Planner>> planners_;
  std::vector<std::unique_ptr<Forwarder>> forwarders_;
  std::map<std::uint64_t, std::shared_ptr<Link>> links_;  // as planners know them
  std::map<std::uint64_t, std::uint64_t> epoch_of_;       // of the planner, by link
  std::map<RequestId, RequestSeen> requests_;
  std::map<std::uint64_t, double> ran_;  // when the last run of a key was admitted
  std::string broken_;
};

// Short histories first: the first that breaks is about the shortest there is.
void histories() {
  History::Totals all;
  int count = 0;
  for (const int requests : {5, 20, 60, 200, 600}) {
    for (std::uint64_t seed = 1; seed <= (requests < 200 ? 500u : 40u); ++seed, ++count) {
      History history(seed * 1000 + static_cast<std::uint64_t>(requests), requests, false);
      const std::string broken = history.play();
      if (!broken.empty()) {
        std::printf("%d ops, seed %llu: %s\n", requests, static_cast<unsigned long long>(seed),
                    broken.c_str());
        History again(seed * 1000 + static_cast<std::uint64_t>(requests), requests, true);
        again.play();
        return;
      }
      const History::Totals t = history.totals();
      all.requests += t.requests;
      all.succeeded += t.succeeded;
      all.rejected += t.rejected;
      all.failed += t.failed;
      all.second += t.second;
      all.fenced += t.fenced;
      all.proven += t.proven;
      all.dropped += t.dropped;
      all.lost += t.lost;
      all.asked += t.asked;
      all.known += t.known;
    }
  }
  std::printf("%d histories: one answer each and in time, no second run, credits right, windows kept\n",
              count);
  const auto share = [&](int n, double least) {
    return static_cast<double>(n) > least * all.requests ? "enough" : "too few";
  };
  std::printf("acked %s, nacked %s, failed %s\n", share(all.succeeded, 0.5), share(all.rejected, 0.02),
              share(all.failed, 0.005));
  std::printf("second tries %s, fences %s, proofs %s, answers dropped %s, lost with a life %s\n",
              share(all.second, 0.005), share(all.fenced, 0.005), share(all.proven, 0.003),
              share(all.dropped, 0.001), share(all.lost, 0.002));
  std::printf("former homes asked %s, answered by them %s\n", share(all.asked, 0.005),
              share(all.known, 0.001));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 4 && std::strcmp(argv[1], "history") == 0) {
    History history(std::strtoull(argv[2], nullptr, 10) * 1000 + std::strtoull(argv[3], nullptr, 10),
                    std::atoi(argv[3]), true);
    std::printf("%s\n", history.play().c_str());
    return 0;
  }
  std::string unused;
  return run_scenario(argc, argv, unused, {{"histories", histories}});
}

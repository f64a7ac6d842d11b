// The adapter to the simulator: decodes batches of events on standard input into calls to admission
// controllers, and encodes their decisions on standard output. One process runs many instances, which share
// only the stream. Malformed input ends the process with a message of one line and status 1; an exception in
// a controller is reported as a fault of its instance.
#include <cmath>
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <string>

#include "admission/controller.h"
#include "frames.h"
#include "settings/settings.h"

namespace damsonspoke::benchlink {
namespace {

constexpr double kSecondsPerMs = 0.001;
constexpr double kMsPerSecond = 1000;
constexpr std::size_t kMaxBatchBytes = std::size_t{1}
                                       << 30;  // a longer frame means that the stream is corrupt

// Codes of events and actions in the simulator's protocol, by position.
enum EventCode : std::uint8_t {
  kRequest = 1,
  kTimer,
  kRunFinished,
  kCreate,
  kDrain,
  kCallerDisconnected,
  kCallNeeded,
  kCallFinished,
  kCrash
};
enum ActionCode : std::uint8_t {
  kSetHealth = 1,
  kFault,
  kReject,
  kLog,
  kPublishLoadFeedback,
  kStart,
  kRemember,
  kScheduleWakeup,
  kSkipCall,
  kSetIdleTimeout,
  kJoin,
  kCall,
  kFail,
  kInterrupt,
  kForget
};

// Flags of a request event.
constexpr unsigned kHasWorkHint = 1;
constexpr unsigned kIsRetry = 2;
constexpr unsigned kIsWrite = 4;

// Encodes the actions of one instance in the order in which they are taken.
class WireDecisionSink : public DecisionSink {
 public:
  WireDecisionSink(Writer& out, std::uint32_t instance_id) : out_(out), instance_id_(instance_id) {}

  void start(RequestId id) override { put_request(kStart, id); }
  void interrupt(RequestId id) override { put_request(kInterrupt, id); }
  void reject(RequestId id, double retry_after, bool no_retry) override {
    put_request(kReject, id);
    out_.put(retry_after * kMsPerSecond);
    out_.put(static_cast<std::uint8_t>(no_retry));
  }
  void fail(RequestId id) override { put_request(kFail, id); }
  void call(RequestId id, double timeout) override { put_request(kCall, id, timeout); }
  void skip_call(RequestId id) override { put_request(kSkipCall, id); }
  void remember(RequestId id, double ttl) override { put_request(kRemember, id, ttl); }
  void forget(RequestId id) override { put_request(kForget, id); }
  void join(RequestId id) override { put_request(kJoin, id); }
  void set_health(bool healthy, bool from_store) override {
    out_.begin_record(kSetHealth, instance_id_);
    out_.put(static_cast<std::uint8_t>(healthy));
    out_.put(static_cast<std::uint8_t>(from_store));
  }
  void publish_load_feedback(double value) override {
    out_.begin_record(kPublishLoadFeedback, instance_id_);
    out_.put(static_cast<float>(value));
  }
  void set_idle_timeout(double seconds) override {
    out_.begin_record(kSetIdleTimeout, instance_id_);
    out_.put(seconds * kMsPerSecond);
  }
  void schedule_wakeup(double time, std::uint64_t token) override {
    out_.begin_record(kScheduleWakeup, instance_id_);
    out_.put(time * kMsPerSecond);
    out_.put(token);
  }
  void log(const std::string& line) override { put_text(kLog, line); }
  void report_fault(const std::string& line) { put_text(kFault, line); }

 private:
  void put_request(ActionCode code, RequestId id) {
    out_.begin_record(code, instance_id_);
    out_.put(id);
  }
  void put_request(ActionCode code, RequestId id, double time) {
    put_request(code, id);
    out_.put(time * kMsPerSecond);
  }
  void put_text(ActionCode code, const std::string& line) {
    out_.begin_record(code, instance_id_);
    out_.put_text(line);
  }

  Writer& out_;
  std::uint32_t instance_id_;
};

// One simulated server.
struct Instance {
  Instance(Writer& out, std::uint32_t instance_id, const StartSettings& start, std::uint64_t seed, double now)
      : sink(out, instance_id),
        gauges(start.gauges),
        routes(start.admission.routes.size()),
        tenants(start.admission.tenants.size()) {
    try {
      controller = std::make_unique<AdmissionController>(start.admission, seed, sink, now);
    } catch (const std::exception& error) {
      sink.report_fault(error.what());
    }
  }
  WireDecisionSink sink;
  std::vector<Gauge> gauges;
  std::size_t routes;
  std::size_t tenants;
  std::unique_ptr<AdmissionController> controller;
};

using Instances = std::map<std::uint32_t, std::unique_ptr<Instance>>;

Outcome outcome_of(std::uint8_t code) {
  switch (code) {
    case 0: return Outcome::kError;
    case 1: return Outcome::kOk;
    case 2: return Outcome::kRejected;
    case 3: return Outcome::kTimeout;
    case 4: return Outcome::kUnreachable;
    case 5: return Outcome::kReset;
    case 6: return Outcome::kCancelled;
    case 7: return Outcome::kObsolete;
    default: throw MalformedInput("unknown outcome " + std::to_string(code));
  }
}

Request read_request(Reader& in, const Instance& instance) {
  Request request;
  request.id = in.take<std::uint64_t>();
  request.route = in.take<std::uint16_t>();
  request.tenant = in.take<std::uint16_t>();
  request.subject = in.take<std::uint64_t>();
  request.remaining_timeout = in.take_number<double>("expires-in") * kSecondsPerMs;
  const double predicted = in.take_number<double>("predicted") * kSecondsPerMs;
  request.size_kb = in.take_number<float>("mem-kb");
  in.take_number<float>("place");
  const auto flags = in.take<std::uint8_t>();
  request.is_retry = (flags & kIsRetry) != 0;
  request.is_write = (flags & kIsWrite) != 0;
  if ((flags & kHasWorkHint) != 0 && std::isfinite(predicted) && predicted > 0) request.work_hint = predicted;
  request.caller = in.take<std::uint32_t>();
  request.age = in.take_number<double>("age") * kSecondsPerMs;
  request.duplicate_of = in.take<std::uint64_t>();
  if (static_cast<std::size_t>(request.route) >= instance.routes)
    throw MalformedInput("the route number of a request is not in the settings");
  if (request.tenant != 0 && static_cast<std::size_t>(request.tenant) >= instance.tenants) {
    throw MalformedInput("the tenant number of a request is not in the settings");
  }
  if (request.size_kb < 0 || request.age < 0 || request.remaining_timeout < 0)
    throw MalformedInput("a size or time of a request is negative");
  return request;
}

Gauges read_gauges(Reader& in, const Instance& instance) {
  Gauges gauges;
  const auto count = in.take<std::uint8_t>();
  for (std::size_t i = 0; i < count; ++i) {
    const double value = in.take_number<float>("a gauge");
    switch (i < instance.gauges.size() ? instance.gauges[i] : Gauge::kOther) {
      case Gauge::kCpuBusy: gauges.cpu_busy = value; break;
      case Gauge::kRunnable: gauges.runnable = value; break;
      case Gauge::kMemoryUsed: gauges.memory_used = value; break;
      case Gauge::kConnections: gauges.connections = value; break;
      case Gauge::kOther: break;
    }
  }
  return gauges;
}

// Calls the controller and reports an exception as a fault of the instance. The caller has read the event's
// record completely, so that an exception can't leave the reader in the middle of a record.
template <typename Decision>
void decide(Instance& instance, Decision decision) {
  if (!instance.controller) return;
  try {
    decision(*instance.controller);
  } catch (const std::exception& error) {
    instance.sink.report_fault(error.what());
  }
}

void handle_record(Reader& in, double now, Instances& instances, Writer& out) {
  const auto code = in.take<std::uint8_t>();
  if (code < kRequest || code > kCrash) throw MalformedInput("unknown event code " + std::to_string(code));
  const auto instance_id = in.take<std::uint32_t>();
  if (code == kCreate) {
    const auto seed = in.take<std::uint64_t>();
    const StartSettings start = read_settings(in.take_bytes(in.take<std::uint32_t>()));
    instances[instance_id] = std::make_unique<Instance>(out, instance_id, start, seed, now);
    return;
  }
  if (code == kCrash) {
    instances.erase(instance_id);
    return;
  }
  const auto found = instances.find(instance_id);
  if (found == instances.end()) throw MalformedInput("event for an instance that was not created");
  Instance& instance = *found->second;
  if (code == kRequest) {
    const Request request = read_request(in, instance);
    decide(instance, [&](AdmissionController& controller) { controller.on_request(now, request); });
    return;
  }
  if (code == kDrain) {
    const double remaining = in.take_number<double>("expires-in") * kSecondsPerMs;
    decide(instance, [&](AdmissionController& controller) { controller.on_drain(now, remaining); });
    return;
  }
  const auto id = in.take<std::uint64_t>();
  if (code == kTimer) {
    const Gauges gauges = read_gauges(in, instance);
    decide(instance, [&](AdmissionController& controller) { controller.on_timer(now, id, gauges); });
  } else if (code == kCallerDisconnected) {
    decide(instance, [&](AdmissionController& controller) { controller.on_caller_disconnected(now, id); });
  } else if (code == kCallNeeded) {
    decide(instance, [&](AdmissionController& controller) { controller.on_call_needed(now, id); });
  } else {
    const Outcome outcome = outcome_of(in.take<std::uint8_t>());
    const double spent = in.take_number<double>("spent") * kSecondsPerMs;
    decide(instance, [&](AdmissionController& controller) {
      if (code == kRunFinished) {
        controller.on_run_finished(now, id, outcome, spent);
      } else {
        controller.on_call_finished(now, id, outcome, spent);
      }
    });
  }
}

// Returns false at the end of the stream. Throws MalformedInput if the stream ends in the middle of a frame.
bool read_fully(char* into, std::size_t count, bool may_end) {
  const std::size_t got = std::fread(into, 1, count, stdin);
  if (got == count) return true;
  if (got == 0 && may_end && std::feof(stdin) != 0) return false;
  throw MalformedInput("truncated input: it ends in the middle of a frame");
}

void write_fully(const std::string& bytes) {
  if (std::fwrite(bytes.data(), 1, bytes.size(), stdout) != bytes.size())
    throw MalformedInput("cannot write a reply to standard output");
}

void serve() {
  Instances instances;
  Writer out;
  Writer header;
  std::string body;
  char head[16];
  while (read_fully(head, sizeof head, true)) {
    Reader fields(std::string_view(head, sizeof head));
    const auto count = fields.take<std::uint32_t>();
    const auto length = fields.take<std::uint32_t>();
    const double now = fields.take_number<double>("the clock") * kSecondsPerMs;
    if (length > kMaxBatchBytes) throw MalformedInput("batch length exceeds the limit of 1 GiB");
    body.resize(length);
    if (length > 0) read_fully(body.data(), length, false);
    Reader in(body);
    out.clear();
    for (std::uint32_t i = 0; i < count; ++i) handle_record(in, now, instances, out);
    if (!in.at_end()) throw MalformedInput("trailing bytes after the last record of a batch");
    header.clear();
    header.put(out.records());
    header.put(static_cast<std::uint32_t>(out.bytes().size()));
    write_fully(header.bytes());
    write_fully(out.bytes());
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace damsonspoke::benchlink

int main() {
  try {
    damsonspoke::benchlink::serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "damsonspoke_benchlink: %s\n", error.what());
    return 1;
  }
  return 0;
}

// One real backend with a catalog of full size, under the peak load of one backend: the latency that changes
// and a replacement of the whole catalog add to requests.
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>

#include "catalog/folder.h"
#include "fleet.h"
#include "scale.h"
#include "synthetic_site.h"

namespace damsonspoke::bench {
namespace {

using namespace standins;

const char* const kBinary = DAMSONSPOKE_BINARY;
constexpr SiteSize kFullSize{44000, 960000};
constexpr catalog::CatalogLimits kLimits{50000, 1000000, true};
constexpr double kRequestsPerS = 1304;            // 3 million over 2,300 backends
constexpr double kChangesPerS = 22000 / 86400.0;  // mean over a day
constexpr double kPeakFactor = 10;                // peak rate of changes over the mean
constexpr double kWork = 0.001;                   // core s of a run; keeps four cores a third busy
constexpr int kCores = 4;

// Writes a folder of catalog files, as an external source does.
class CatalogWriter {
 public:
  CatalogWriter(const std::string& folder, SiteSize size) : folder_(folder), size_(size) { write_all(1); }

  // Writes a complete snapshot, with quotas multiplied by `factor`.
  void write_all(double factor) {
    std::string lines;
    for (std::size_t i = 0; i < size_.routes; ++i)
      lines += encode_change(catalog::PutRoute{route_name(i), synthetic_route(i)});
    for (std::size_t i = 0; i < size_.tenants; ++i)
      lines +=
          encode_change(catalog::PutTenant{tenant_name(i), {factor * synthetic_quota(size_.tenants), 0}});
    history_ = catalog::extend_history(history_, lines);
    catalog::write_snapshot(folder_, {1, ++sequence_}, history_, lines);
  }
  // Appends changes; returns the sequence number of the last one.
  std::uint64_t append(std::size_t count) {
    std::string lines;
    for (std::size_t i = 0; i < count; ++i)
      lines += encode_change(catalog::PutTenant{tenant_name((sequence_ * 97 + i) % size_.tenants),
                                                {10 + static_cast<double>(i), 0}});
    std::ofstream file(folder_ + "/" + catalog::kChangesFile, std::ios::binary | std::ios::app);
    file << catalog::encode_batch(1, sequence_ + 1, history_, lines);
    return sequence_ += count;
  }
  std::uint64_t sequence() const { return sequence_; }

 private:
  const std::string folder_;
  const SiteSize size_;
  std::uint64_t sequence_ = 0;
  catalog::HistoryDigest history_ = 0;
};

struct TrialResult {
  std::vector<double> added_latency;       // s of each succeeded request beyond its run
  std::vector<double> activation_seconds;  // s from writing a change until it is active
  std::size_t requests = 0, succeeded = 0, versionless = 0;
  double processor_share = 0;  // of a core
  double max_step_ms = 0, resident_mb = 0;
  std::uint64_t applied = 0, rejected = 0, violations = 0, overdue = 0;
  std::uint64_t sequence = 0, last_written = 0;
};

struct ChangePattern {
  double interval_seconds = 0;  // s between two batches of changes; 0: no changes
  std::size_t batch_size = 1;   // changes in a batch
  bool replaces_all = false;    // the whole catalog, a second after the trial begins
};

SiteSpec site_of(const std::string& folder) {
  SiteSpec site;
  site.types = {{"first", "retryable", 0.2, 0.4, 0, 1}};
  site.cores = kCores;
  site.memory_mb = 256;
  site.operators = fmt::format("catalog\n    folder {}\n", folder);
  return site;
}

Callers::Options load_of(std::uint64_t seed, double per_s) {
  Flow flow;
  flow.type = "any";
  flow.per_s = per_s;
  flow.timeout = 0.4;
  flow.type_of = [](std::uint64_t draw) { return route_name(draw % kFullSize.routes); };
  flow.tenant_of = [](std::uint64_t draw) { return tenant_name(draw % kFullSize.tenants); };
  Callers::Options load;
  load.flows = {flow};
  load.connections = 32;
  load.seed = seed;
  return load;
}

TrialResult run_trial(const std::string& folder, CatalogWriter& writer, const ChangePattern& changes,
                      const ScaleOptions& options, double per_s = kRequestsPerS) {
  TrialResult out;
  Runtime::Options work;
  work.cores = kCores;
  work.work = kWork;
  Fleet fleet(kBinary, site_of(folder), work, load_of(options.seed, per_s));
  if (!fleet.start()) return out;
  fleet.loop.run_for(2);
  std::map<std::uint64_t, double> written_at;  // by sequence number, until the change is active
  fleet.process->on_log_line = [&](const std::string& line) {
    if (line.find("catalog: version 1.") == std::string::npos ||
        line.find("after the reload request") == std::string::npos)
      return;
    const std::uint64_t sequence = std::strtoull(line.c_str() + line.find("version 1.") + 10, nullptr, 10);
    while (!written_at.empty() && written_at.begin()->first <= sequence) {
      out.activation_seconds.push_back(now() - written_at.begin()->second);
      written_at.erase(written_at.begin());
    }
  };
  const double began = now(), cpu = fleet.process->processor_time();
  std::function<void()> write_batch = [&] {
    if (now() - began > options.seconds) return;
    const double at = now();
    written_at[writer.append(changes.batch_size)] = at;
    fleet.process->signal(SIGHUP);
    fleet.loop.after(changes.interval_seconds, write_batch);
  };
  if (changes.interval_seconds > 0) fleet.loop.after(changes.interval_seconds, write_batch);
  if (changes.replaces_all) {
    // The replacement was written before the trial: writing it here would block the stand-ins, which share
    // this thread.
    written_at[writer.sequence()] = now() + 1;
    fleet.loop.after(1, [&] { fleet.process->signal(SIGHUP); });
  }
  fleet.loop.run_for(options.seconds);
  out.processor_share = (fleet.process->processor_time() - cpu) / (now() - began);
  out.resident_mb = static_cast<double>(fleet.process->resident_kb()) / 1024;
  fleet.settle(3);
  fleet.loop.run_for(1);
  auto counters = fleet.process->counters();
  out.max_step_ms = static_cast<double>(counters["catalog.max_step_us"]) / 1000;
  out.applied = counters["catalog.applied"];
  out.rejected = counters["catalog.rejected"];
  out.sequence = counters["catalog.sequence"];
  out.overdue = counters["requests.overdue"];
  out.last_written = writer.sequence();
  fleet.shut_down();
  std::map<std::uint64_t, double> run_seconds;  // s at the runtime, by request number
  for (const RecordedRun& run : fleet.journal.runs) run_seconds[run.request] = run.ended - run.began;
  for (const auto& [request, attempt] : fleet.journal.attempts) {
    if (attempt.sent < began) continue;
    ++out.requests;
    for (const Answer& answer : attempt.answers) {
      if (answer.kind != AnswerKind::kSucceeded) continue;
      ++out.succeeded;
      out.added_latency.push_back(answer.at - attempt.sent - run_seconds[request]);
    }
  }
  out.violations = check_rules(fleet.journal, fleet.limits()).broken.size();
  return out;
}

void print_trial(const char* title, const TrialResult& trial) {
  fmt::print(
      "  {:<34} {} of {} served, added p50 {:.2f} p99 {:.2f} ms; {:.1f}% of a core, {:.0f} MB, longest step "
      "{:.2f} ms; "
      "{} changes applied, {} rejected, {} active of {}{}{}\n",
      title, trial.succeeded, trial.requests, 1000 * quantile(trial.added_latency, 0.5),
      1000 * quantile(trial.added_latency, 0.99), 100 * trial.processor_share, trial.resident_mb,
      trial.max_step_ms, trial.applied, trial.rejected, trial.sequence, trial.last_written,
      trial.activation_seconds.empty()
          ? ""
          : fmt::format(" after p99 {:.3f} s", quantile(trial.activation_seconds, 0.99)),
      trial.violations > 0 ? "; service rules violated" : "");
}

}  // namespace

void measure_backend(const ScaleOptions& options, Figures& figures) {
  fmt::print("One backend with {} routes and {} tenants, {:.0f} requests per second:\n", kFullSize.routes,
             kFullSize.tenants, kRequestsPerS);
  const TemporaryFolder folder;
  CatalogWriter writer(folder.path("."), kFullSize);
  std::vector<std::pair<double, double>> share;
  for (const double per_s : {163.0, 326.0, 652.0, kRequestsPerS}) {
    const TrialResult trial = run_trial(folder.path("."), writer, {}, options, per_s);
    print_trial(fmt::format("{:.0f} per second", per_s).c_str(), trial);
    share.emplace_back(per_s, 100 * trial.processor_share);
  }
  print_forecast("share of a core", "%", share);
  figures["us_per_request_backend"] = 1e4 * forecast(share).slope;
  const TrialResult calm = run_trial(folder.path("."), writer, {}, options);
  print_trial("no changes", calm);
  const TrialResult peak =
      run_trial(folder.path("."), writer, {1 / (kPeakFactor * kChangesPerS), 1, false}, options);
  print_trial("changes at ten times the mean", peak);
  const TrialResult burst = run_trial(folder.path("."), writer, {1, 1000, false}, options);
  print_trial("a thousand changes per second", burst);
  // The backend starts with the present snapshot, and finds the replacement on the reload request.
  const std::string current = folder.path("./") + catalog::kSnapshotFile;
  TrialResult replaced;
  {
    const std::string original = folder.path("./") + "next";
    ::rename(current.c_str(), original.c_str());
    writer.write_all(2);  // written under the snapshot's name, then moved away
    const std::string replacement = folder.path("./") + "later";
    ::rename(current.c_str(), replacement.c_str());
    ::rename(original.c_str(), current.c_str());
    // A child process renames the replacement to the snapshot's name before the trial sends its reload
    // request.
    replaced = [&] {
      const pid_t rename_process = ::fork();
      if (rename_process == 0) {
        ::usleep(2500000);
        ::rename(replacement.c_str(), current.c_str());
        std::_Exit(0);
      }
      return run_trial(folder.path("."), writer, {0, 1, true}, options);
    }();
  }
  print_trial("whole catalog replaced", replaced);
  figures["added_ms_p99_calm"] = 1000 * quantile(calm.added_latency, 0.99);
  figures["added_ms_p99_changes"] = 1000 * quantile(peak.added_latency, 0.99);
  figures["added_ms_p99_burst"] = 1000 * quantile(burst.added_latency, 0.99);
  figures["added_ms_p99_replaced"] = 1000 * quantile(replaced.added_latency, 0.99);
  figures["in_force_s_p99"] = quantile(peak.activation_seconds, 0.99);
  figures["in_force_s_replaced"] = quantile(replaced.activation_seconds, 0.99);
  figures["longest_hold_ms"] = std::max({peak.max_step_ms, burst.max_step_ms, replaced.max_step_ms});
  figures["mb_at_size"] = std::max({calm.resident_mb, peak.resident_mb, burst.resident_mb});
  figures["mb_replaced"] = replaced.resident_mb;
  figures["lost_changes"] +=
      static_cast<double>(peak.last_written - peak.sequence + burst.last_written - burst.sequence);
  figures["rule_breaks"] =
      static_cast<double>(calm.violations + peak.violations + burst.violations + replaced.violations);
  figures["control_core_share_changes"] = std::max(0.0, peak.processor_share - calm.processor_share);
}

// Idle connections that have sent one health check: memory and processor time of the backend.
void measure_connections(const ScaleOptions& options, Figures& figures) {
  fmt::print("Idle connections at one backend:\n");
  std::vector<std::pair<double, double>> memory, share;
  for (const int count : {250, 500, 1000, 4000}) {
    SiteSpec site;
    site.types = {{"first", "retryable", 0.2, 0.4, 0, 1}};
    site.sockets = 8192;
    site.memory_mb = 2048;  // the limit of connections depends on it
    Fleet fleet(kBinary, site, {}, {});
    if (!fleet.start()) return;
    fleet.loop.run_for(1);
    const long before = fleet.process->resident_kb();
    std::vector<int> open;
    int closed = 0;
    for (int i = 0; i < count; ++i) {
      const int fd = connected_socket(fleet.server.port(), fmt::format("127.9.{}.{}", i / 250, 1 + i % 250));
      if (fd < 0) continue;
      open.push_back(fd);
      fleet.loop.watch(fd, [&fleet, &closed, fd] {
        char bytes[512];
        if (::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT) > 0) return;
        ++closed;
        fleet.loop.forget(fd);
      });
      const std::string check = R"({"jsonrpc":"2.0","id":1,"method":"health","params":{}})";
      fleet.loop.send(fd, fmt::format("Content-Length: {}\r\n\r\n{}", check.size(), check));
      if (i % 50 == 0) fleet.loop.run_for(0.02);
    }
    fleet.loop.run_for(0.5);
    const double measured_seconds = options.seconds / 2;
    const double cpu = fleet.process->processor_time();
    const auto reports = fleet.process->counters()["registry.reports"];
    fleet.loop.run_for(measured_seconds);
    const double core_share = (fleet.process->processor_time() - cpu) / measured_seconds;
    const auto reports_per_second =
        static_cast<double>(fleet.process->counters()["registry.reports"] - reports) / measured_seconds;
    const auto kb = static_cast<double>(fleet.process->resident_kb() - before);
    fmt::print(
        "  {:>5} connections, {} closed by the backend: {:.2f} KB each, {:.2f}% of a core, {:.1f} reports to "
        "the "
        "registry per second\n",
        count, closed, kb / count, 100 * core_share, reports_per_second);
    memory.emplace_back(count, kb);
    share.emplace_back(count, 100 * core_share);
    figures["roster_reports_per_s"] = reports_per_second;
    for (const int fd : open) {
      fleet.loop.forget(fd);
      ::close(fd);
    }
  }
  print_forecast("kilobytes", "KB", memory);
  print_forecast("share of a core", "%", share);
  figures["kb_per_connection"] = forecast(memory).slope;
}

}  // namespace damsonspoke::bench

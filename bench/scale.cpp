// Benchmark of how costs grow with the size of the fleet and of its configuration: the admission decisions,
// the catalog, one real backend under load, and fleets of hollow members beside real processes. Each figure
// is measured at several sizes. If a line fitted through the smaller ones does not predict the largest, it is
// reported as not linear.
#include "scale.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>

namespace damsonspoke::bench {

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}
double median(std::vector<double> values) { return quantile(std::move(values), 0.5); }

Forecast forecast(const std::vector<std::pair<double, double>>& points) {
  Forecast out;
  if (points.size() < 3) return out;
  const auto count = static_cast<double>(points.size() - 1);
  double sum_x = 0, sum_y = 0, sum_xx = 0, sum_xy = 0;
  for (std::size_t i = 0; i + 1 < points.size(); ++i) {
    sum_x += points[i].first, sum_y += points[i].second;
    sum_xx += points[i].first * points[i].first, sum_xy += points[i].first * points[i].second;
  }
  const double denominator = count * sum_xx - sum_x * sum_x;
  out.slope = denominator != 0 ? (count * sum_xy - sum_x * sum_y) / denominator : 0;
  out.base = (sum_y - out.slope * sum_x) / count;
  out.measured = points.back().second;
  out.predicted = out.base + out.slope * points.back().first;
  return out;
}

void print_forecast(const char* quantity, const char* unit,
                    const std::vector<std::pair<double, double>>& points) {
  const Forecast line = forecast(points);
  fmt::print("  {}: {:.6g} + {:.6g} x size; at {:.0f} predicted {:.4g} {}, measured {:.4g} ({:+.0f}%){}\n",
             quantity, line.base, line.slope, points.back().first, line.predicted, unit, line.measured,
             100 * line.error(), std::abs(line.error()) <= 0.25 ? "" : ": not linear");
}

}  // namespace damsonspoke::bench

int main(int argc, char** argv) {
  using namespace damsonspoke::bench;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  cxxopts::Options flags("scale", "how costs grow with the size of fleet and configuration");
  flags.add_options()("seconds", "duration of the load in each trial",
                      cxxopts::value<double>()->default_value("10"))(
      "seed", "seed of the load and the simulations", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rounds", "trials of each figure", cxxopts::value<int>()->default_value("3"))(
      "fleets", "sizes of the fleets on sockets",
      cxxopts::value<std::vector<int>>()->default_value("100,300,1000,2300"))(
      "simulate", "sizes of the simulated fleets",
      cxxopts::value<std::vector<int>>()->default_value("100,300,600,1000,2300"))(
      "loss", "size of the largest fleet on sockets that loses a sixth of its members",
      cxxopts::value<int>()->default_value("300"))("joins", "hollow members started per second",
                                                   cxxopts::value<double>()->default_value("200"))(
      "converge", "seconds until all members must see each other",
      cxxopts::value<double>()->default_value("120"))(
      "parts",
      "parts to run: decisions, catalog, backend, connections, exchange, members, simulated, pauses, faults",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "decisions,catalog,backend,connections,exchange,members,simulated,pauses,faults"));
  const auto parsed = flags.parse(argc, argv);
  ScaleOptions options;
  options.seconds = parsed["seconds"].as<double>();
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.rounds = parsed["rounds"].as<int>();
  options.fleet_sizes = parsed["fleets"].as<std::vector<int>>();
  options.simulated_sizes = parsed["simulate"].as<std::vector<int>>();
  options.starts_per_second = parsed["joins"].as<double>();
  options.convergence_timeout = parsed["converge"].as<double>();
  options.max_members_in_loss = parsed["loss"].as<int>();
  const auto parts = parsed["parts"].as<std::vector<std::string>>();
  const auto is_selected = [&](const char* part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  };
  Figures figures;
  if (is_selected("decisions")) measure_decisions(options, figures);
  if (is_selected("catalog")) measure_catalog(options, figures);
  if (is_selected("backend")) measure_backend(options, figures);
  if (is_selected("connections")) measure_connections(options, figures);
  if (is_selected("exchange")) measure_push_pull(options, figures);
  if (is_selected("members")) measure_members(options, figures);
  if (is_selected("simulated")) measure_simulated_members(options, figures);
  if (is_selected("pauses")) measure_simulated_pauses(options, figures);
  if (is_selected("faults")) measure_simulated_faults(options, figures);
  fmt::print("figures:");
  for (const auto& [name, value] : figures) fmt::print(" {}={:.6g}", name, value);
  fmt::print("\n");
  return 0;
}

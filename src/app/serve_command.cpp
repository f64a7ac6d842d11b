// `damsonspoke serve|plan|forward|check`: runs one process, or checks its configuration and operators' file.
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

#include "app/backend.h"
#include "app/commands.h"
#include "app/deferred_signals.h"
#include "app/forwarder.h"
#include "net/address.h"
#include "observability/logger.h"
#include "settings/config_validation.h"
#include "wire/rpc.h"

namespace damsonspoke {
namespace {

constexpr const char* kConfigVariable = "PROXY_CONFIG";
constexpr const char* kOperatorVariable = "DAMSONSPOKE_OPERATOR";

std::string from_flag_or(const cxxopts::ParseResult& flags, const char* flag, const char* variable) {
  if (flags.count(flag) > 0) return flags[flag].as<std::string>();
  const char* path = std::getenv(variable);
  return path == nullptr ? std::string() : std::string(path);
}

std::string config_path(const cxxopts::ParseResult& flags) {
  std::string path = from_flag_or(flags, "config", kConfigVariable);
  if (path.empty()) {
    throw UsageError(fmt::format("no configuration: use --config FILE or set {}", kConfigVariable));
  }
  return path;
}

}  // namespace

std::string operator_path(const cxxopts::ParseResult& flags) {
  return from_flag_or(flags, "operator", kOperatorVariable);
}

OperatorOptions effective_options(const ConfigFiles& files) {
  OperatorOptions options = files.operators ? files.operators->options : OperatorOptions{};
  enable_required_results(files.config, std::string(wire::kDefaultIdempotencyKeyParam), options);
  return options;
}

ConfigFiles load_config_files(const cxxopts::ParseResult& flags) {
  ConfigFiles files{read_config(config_path(flags)), std::nullopt};
  const std::string path = operator_path(flags);
  if (!path.empty()) files.operators = read_operator_file(path);
  const OperatorOptions options = effective_options(files);
  if (const auto unsupported = find_unsupported(files.config, options))
    throw SettingsError(to_string(*unsupported));
  if (options.results.enabled && wire::is_protocol_param(options.results.key_field)) {
    throw SettingsError(fmt::format("results: key-field '{}' is a parameter of the protocol itself",
                                    options.results.key_field));
  }
  const Config& config = files.config;
  for (const std::string* address : {&config.listen, &config.runtime, &config.registry, &config.dependency}) {
    if (!address->empty()) net::parse_address(*address);
  }
  return files;
}

namespace {

Logger make_logger(const cxxopts::ParseResult& flags) {
  const std::string name = flags["log-level"].as<std::string>();
  const std::optional<Level> level = parse_level(name);
  if (!level) throw UsageError(fmt::format("--log-level: '{}' is none of error, warning, info, debug", name));
  const std::string format_name = flags["log-format"].as<std::string>();
  const std::optional<LogFormat> format = parse_log_format(format_name);
  if (!format) throw UsageError(fmt::format("--log-format: '{}' is neither text nor json", format_name));
  return Logger(*level, *format);
}

ProcessConfig process_config_of(const cxxopts::ParseResult& flags) {
  const ConfigFiles files = load_config_files(flags);
  return {files.config, effective_options(files)};
}

// Forwarders do not tell planners the tenant of a request, so neither supports tenants.
void reject_tenants(const ProcessConfig& process_config) {
  if (!process_config.config.site.admission.tenants.empty())
    throw SettingsError("settings: 'customers' is not empty; forwarders and planners do not support tenants");
}

// Throws SettingsError if the configuration names no planners and does not let members report them.
ProcessConfig forwarder_config_of(const cxxopts::ParseResult& flags) {
  ProcessConfig process_config = process_config_of(flags);
  reject_tenants(process_config);
  const std::vector<std::string>& planners = process_config.options.forward.planners;
  const bool discovers_planners =
      process_config.options.forward.from_members && process_config.options.members.enabled();
  if (planners.empty() && !discovers_planners)
    throw SettingsError("forward: no planners; name them in section 'forward' of the operators' file");
  for (const std::string& address : planners) net::parse_address(address);
  return process_config;
}

int run_backend(Role role, const cxxopts::ParseResult& flags) {
  defer_signals();
  Logger log = make_logger(flags);
  const auto load_config = [&flags, role] {
    ProcessConfig process_config = process_config_of(flags);
    if (role == Role::kPlanner) reject_tenants(process_config);
    return process_config;
  };
  const ProcessConfig process_config = load_config();
  Backend backend(role, process_config, load_config, log);
  return backend.run();
}

}  // namespace

int serve_command(const cxxopts::ParseResult& flags) { return run_backend(Role::kBackend, flags); }
int plan_command(const cxxopts::ParseResult& flags) { return run_backend(Role::kPlanner, flags); }
int forward_command(const cxxopts::ParseResult& flags) {
  defer_signals();
  Logger log = make_logger(flags);
  const auto load_config = [&flags] { return forwarder_config_of(flags); };
  const ProcessConfig process_config = load_config();
  Forwarder forwarder(process_config, load_config, log);
  return forwarder.run();
}

int check_command(const cxxopts::ParseResult& flags) {
  const ConfigFiles files = load_config_files(flags);
  fmt::print("{}: listens on {}, {} routes, {} cores\n", files.config.name, files.config.listen,
             files.config.site.route_names.size(), files.config.site.admission.cores);
  return kExitSuccess;
}

}  // namespace damsonspoke

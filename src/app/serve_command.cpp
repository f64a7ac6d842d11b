// damsonspoke serve, plan, forward and check: one process by its configuration and the operators' file.
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
    throw WrongUse(fmt::format("no configuration: give --config FILE or set {}", kConfigVariable));
  }
  return path;
}

}  // namespace

std::string operator_path(const cxxopts::ParseResult& flags) {
  return from_flag_or(flags, "operator", kOperatorVariable);
}

OperatorOptions options_of(const Chosen& chosen) {
  OperatorOptions options = chosen.operators ? chosen.operators->options : OperatorOptions{};
  enable_required_results(chosen.config, std::string(wire::kDefaultIdempotencyKeyParam), options);
  return options;
}

Chosen usable_choice(const cxxopts::ParseResult& flags) {
  Chosen chosen{read_config(config_path(flags)), std::nullopt};
  const std::string path = operator_path(flags);
  if (!path.empty()) chosen.operators = read_operator_file(path);
  const OperatorOptions options = options_of(chosen);
  if (const auto unsupported = find_unsupported(chosen.config, options))
    throw SettingsError(to_string(*unsupported));
  if (options.results.enabled && wire::is_protocol_param(options.results.key_field)) {
    throw SettingsError(
        fmt::format("results: key-field '{}' is the protocol's own", options.results.key_field));
  }
  const Config& config = chosen.config;
  for (const std::string* address : {&config.listen, &config.runtime, &config.registry, &config.dependency}) {
    if (!address->empty()) net::parse_address(*address);
  }
  return chosen;
}

namespace {

Logger make_logger(const cxxopts::ParseResult& flags) {
  const std::string name = flags["log-level"].as<std::string>();
  const std::optional<Level> level = level_of(name);
  if (!level) throw WrongUse(fmt::format("--log-level: '{}' is none of error, warning, info, debug", name));
  const std::string form_name = flags["log-format"].as<std::string>();
  const std::optional<LogForm> form = log_form_of(form_name);
  if (!form) throw WrongUse(fmt::format("--log-format: '{}' is neither text nor json", form_name));
  return Logger(*level, *form);
}

Choice choice_of(const cxxopts::ParseResult& flags) {
  const Chosen chosen = usable_choice(flags);
  return {chosen.config, options_of(chosen)};
}

// Between the two levels requests do not name their tenant yet.
void refuse_tenants(const Choice& choice) {
  if (!choice.config.site.admission.tenants.empty())
    throw SettingsError("settings: 'customers' is not empty; forwarders and planners do not tell them apart");
}

// A forwarder is nothing without planners.
Choice forwarder_choice_of(const cxxopts::ParseResult& flags) {
  Choice choice = choice_of(flags);
  refuse_tenants(choice);
  const std::vector<std::string>& planners = choice.options.forward.planners;
  const bool told = choice.options.forward.from_members && choice.options.members.enabled();
  if (planners.empty() && !told)
    throw SettingsError("forward: no planners; an operators' file names them in section 'forward'");
  for (const std::string& address : planners) net::parse_address(address);
  return choice;
}

int run_backend(Role role, const cxxopts::ParseResult& flags) {
  defer_signals();
  Logger log = make_logger(flags);
  const auto reread = [&flags, role] {
    Choice choice = choice_of(flags);
    if (role == Role::kPlanner) refuse_tenants(choice);
    return choice;
  };
  const Choice choice = reread();
  Backend backend(role, choice, reread, log);
  return backend.run();
}

}  // namespace

int serve_command(const cxxopts::ParseResult& flags) { return run_backend(Role::kRelay, flags); }
int plan_command(const cxxopts::ParseResult& flags) { return run_backend(Role::kPlanner, flags); }
int forward_command(const cxxopts::ParseResult& flags) {
  defer_signals();
  Logger log = make_logger(flags);
  const auto reread = [&flags] { return forwarder_choice_of(flags); };
  const Choice choice = reread();
  Forwarder forwarder(choice, reread, log);
  return forwarder.run();
}

int check_command(const cxxopts::ParseResult& flags) {
  const Chosen chosen = usable_choice(flags);
  fmt::print("{}: listens on {}, {} op types, {} cores\n", chosen.config.name, chosen.config.listen,
             chosen.config.site.route_names.size(), chosen.config.site.admission.cores);
  return kDone;
}

}  // namespace damsonspoke

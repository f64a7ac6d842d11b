// What the sub-commands do, each in a file of its own; command_line.cpp reads their flags.
#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "settings/config.h"
#include "settings/operator_file.h"

namespace damsonspoke {

constexpr int kDone = 0, kFailed = 1, kWrongUse = 2;

struct WrongUse : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The files that a command is about: by flag, else by the environment.
struct Chosen {
  Config config;
  std::optional<OperatorFile> operators;  // none: everything in it is off
};
std::string operator_path(const cxxopts::ParseResult& flags);  // empty: none
OperatorOptions options_of(const Chosen& chosen);  // in force, those that the settings ask for too
Chosen usable_choice(const cxxopts::ParseResult& flags);

int serve_command(const cxxopts::ParseResult& flags);
int plan_command(const cxxopts::ParseResult& flags);
int forward_command(const cxxopts::ParseResult& flags);
int check_command(const cxxopts::ParseResult& flags);
int config_command(const cxxopts::ParseResult& flags);
int knowledge_command(const cxxopts::ParseResult& flags);
std::string control_folder(const cxxopts::ParseResult& flags);
int catalog_command(const cxxopts::ParseResult& flags);
int conns_command(const cxxopts::ParseResult& flags);
int members_command(const cxxopts::ParseResult& flags);
int results_command(const cxxopts::ParseResult& flags);

}  // namespace damsonspoke

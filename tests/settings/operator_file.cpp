// The operators' file: the complete list of errors of a file, values, and defaults. CTest compares with
// tests/traces/operator_NAME.txt. usage: operator_file SCENARIO
#include "settings/operator_file.h"

#include <cstdio>
#include <cstring>
#include <string>

using namespace damsonspoke;

namespace {

void parse_and_print(const char* what, const std::string& text) {
  std::printf("-- %s\n", what);
  const OperatorFile file = parse_operator_file(text);
  for (const OperatorError& error : file.errors)
    std::printf("%zu:%zu: %s\n", error.line, error.column, error.text.c_str());
  if (!file.errors.empty()) return;
  const ResultsOptions& results = file.options.results;
  std::printf("enabled %d, memory %zu, entries %zu, store '%s', power %d, patience %g, digest %zu\n",
              results.enabled, results.memory, results.entries, results.store.c_str(), results.power_safe,
              results.store_timeout, results.digest.size());
}

void errors() {
  parse_and_print("unknown names",
                  "reslts\n    enabled on\nresults\n    enabld on\n    xyz 1\nresults more\n");
  parse_and_print("directives outside of a section", "    enabled on\n    memory 1M\n");
  parse_and_print("invalid values",
                  "results\n enabled yes\n memory 1T\n memory\n memory 1M 2M\n entries 1.5\n entries 3\n"
                  " patience 1\n patience 61s\n safety both\n key-field \"\"\n key-length -1\n");
  parse_and_print("duplicate directives", "results\n enabled on\n enabled on\nresults\n enabled off\n");
  parse_and_print("invalid quotes", "results\n store \"/a b\n store /a\"b\n store \"/a\"b\n");
  parse_and_print("invalid bytes",
                  std::string("results\n enabled\0 on\n", 21) + " store \x01\xff\n\r\n enabled on\r\n");
  parse_and_print("a very long line", "results\n store " + std::string(5000, 'x'));
}

void values() {
  parse_and_print("an empty file", "");
  parse_and_print("comments and blanks", "# one\n\n   \nresults # two\n\tenabled on# three\n");
  parse_and_print(
      "all forms of values",
      "results\n enabled on\n memory 1.5M\n entries 100\n store \"/var/a \\\"b\\\"/c\"\n safety power\n"
      " patience 250ms\n digest push pull \"a b\"");
  parse_and_print("a section given twice", "results\n enabled on\nresults\n memory 128K\n");
  std::printf("-- effective options\n%s",
              parse_operator_file("results\n store \"/a b\"\n memory 2M # why\n").effective().c_str());
  // The output of `config show` is a valid operators' file with the same meaning.
  const std::string shown =
      parse_operator_file("results\n enabled on\n digest \"a b\" c\n store \"x\\\\y\"\n").effective();
  const OperatorFile again = parse_operator_file(shown);
  std::printf("-- the output parsed again: %zu errors, digest %zu, store '%s'\n", again.errors.size(),
              again.options.results.digest.size(), again.options.results.store.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> scenarios[] = {{"errors", errors}, {"values", values}};
  for (const auto& [name, run] : scenarios) {
    if (argc != 2 || std::strcmp(argv[1], name) != 0) continue;
    run();
    return 0;
  }
  return 2;
}

// What the operators' file says back: all errors of a file in one go, values, and what stands where nothing
// was given. CTest compares with tests/traces/operator_NAME.txt. usage: operator_file SCENARIO
#include "settings/operator_file.h"

#include <cstdio>
#include <cstring>
#include <string>

using namespace damsonspoke;

namespace {

void play(const char* what, const std::string& text) {
  std::printf("-- %s\n", what);
  const OperatorFile file = parse_operator_file(text);
  for (const OperatorError& e : file.errors) std::printf("%zu:%zu: %s\n", e.line, e.column, e.text.c_str());
  if (!file.errors.empty()) return;
  const ResultsOptions& r = file.options.results;
  std::printf("enabled %d, memory %zu, entries %zu, store '%s', power %d, patience %g, digest %zu\n",
              r.enabled, r.memory, r.entries, r.store.c_str(), r.power_safe, r.patience, r.digest.size());
}

void errors() {
  play("names", "reslts\n    enabled on\nresults\n    enabld on\n    xyz 1\nresults more\n");
  play("no section", "    enabled on\n    memory 1M\n");
  play("values",
       "results\n enabled yes\n memory 1T\n memory\n memory 1M 2M\n entries 1.5\n entries 3\n"
       " patience 1\n patience 61s\n safety both\n key-field \"\"\n key-length -1\n");
  play("twice", "results\n enabled on\n enabled on\nresults\n enabled off\n");
  play("quotes", "results\n store \"/a b\n store /a\"b\n store \"/a\"b\n");
  play("bytes", std::string("results\n enabled\0 on\n", 21) + " store \x01\xff\n\r\n enabled on\r\n");
  play("a line that never ends", "results\n store " + std::string(5000, 'x'));
}

void values() {
  play("nothing", "");
  play("comments and blanks", "# one\n\n   \nresults # two\n\tenabled on# three\n");
  play("all forms",
       "results\n enabled on\n memory 1.5M\n entries 100\n store \"/var/a \\\"b\\\"/c\"\n safety power\n"
       " patience 250ms\n digest push pull \"a b\"");
  play("sections again", "results\n enabled on\nresults\n memory 128K\n");
  std::printf("-- what is in force\n%s",
              parse_operator_file("results\n store \"/a b\"\n memory 2M # why\n").effective().c_str());
  // What `show` prints is itself such a file, with the same meaning.
  const std::string shown =
      parse_operator_file("results\n enabled on\n digest \"a b\" c\n store \"x\\\\y\"\n").effective();
  const OperatorFile again = parse_operator_file(shown);
  std::printf("-- read again: %zu errors, digest %zu, store '%s'\n", again.errors.size(),
              again.options.results.digest.size(), again.options.results.store.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {{"errors", errors}, {"values", values}};
  for (const auto& [name, run] : kScenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) return run(), 0;
  }
  return 2;
}

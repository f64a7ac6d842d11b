// Which forms of the settings are supported: an invalid one is rejected with a message of one line that names
// the key. CTest compares with tests/traces/settings_shape.txt.
#include <cstdio>
#include <string>

#include "settings/config.h"
#include "settings/config_validation.h"

namespace {

using namespace damsonspoke;

std::string config_with(const std::string& extra) {
  return R"({"name": "n1", "listen": "127.0.0.1:5050", "runtime": "127.0.0.1:4400", "roster": "127.0.0.1:7946",
  "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
  "settings": {)" +
         extra + R"("servers": 1, "resolution": 4,
    "request-classes": [{"name": "read", "semantics": "retryable", "target": 1000, "give-up": 3000, "worth": 1}],
    "family-info": {"cores": 4, "memory-kb": 100000, "run-factor": 16, "callers": 2, "halt": "off"},
    "rules": {"fall-multiple": 6, "stop-sending-within": 2500}}})";
}

void check(const char* name, const std::string& extra) {
  try {
    const Config config = parse_config(config_with(extra));
    const auto unsupported = find_unsupported(config, OperatorOptions{});
    std::printf("%-22s hints %d, by work %d: %s\n", name, config.site.has_work_hints,
                config.site.counted_by_work, unsupported ? to_string(*unsupported).c_str() : "supported");
  } catch (const SettingsError& error) {
    std::printf("%-22s rejected: %s\n", name, error.what());
  }
}

}  // namespace

int main() {
  check("default form", "");
  check("hints and by work", R"("hints": "good", "counted-by": "work", )");
  check("rough hints", R"("hints": "rough", )");
  check("by work, hints absent", R"("counted-by": "work", )");
  check("by work without hints", R"("hints": "none", "counted-by": "work", )");
  check("unknown kind of hints", R"("hints": "sometimes", )");
  check("load report off", R"("stats": {"how": "off", "columns": []}, )");
  check("customers", R"("customers": [{"name": "a"}, {"name": "b", "quota-per-s": 3}], )");
  check("duplicate customer", R"("customers": [{"name": "a"}, {"name": "a"}], )");
  check("customer without name", R"("customers": [{"quota-per-s": 3}], )");
  check("unknown counting unit", R"("hints": "good", "counted-by": "hour", )");
  return 0;
}

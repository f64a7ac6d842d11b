// Runs a fuzz target without a fuzzer: each input of its corpus, then mutations of them. Both are the same
// on each run, so the result is too. usage: replay FOLDER MUTATIONS
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <pcg_random.hpp>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size);

namespace {

void run_target(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const unsigned char*>(input.data()), input.size());
}

std::string mutated(std::string text, const std::string& other, pcg32& random) {
  for (unsigned n = 1 + random() % 4; n > 0; --n) {
    if (text.empty()) text.push_back(static_cast<char>(random()));
    const std::size_t at = random() % text.size();
    switch (random() % 6) {
      case 0: text[at] = static_cast<char>(text[at] ^ (1 << random() % 8)); break;
      case 1: text[at] = static_cast<char>(random()); break;
      case 2: text.erase(at, 1 + random() % 8); break;
      case 3: text.insert(at, 1 + random() % 8, static_cast<char>(random())); break;
      case 4: text.resize(at); break;
      default: text.insert(at, other.substr(0, random() % (other.size() + 1)));
    }
  }
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) paths.push_back(entry.path());
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> corpus;
  for (const auto& path : paths) {
    std::ifstream in(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    run_target(corpus.back());
  }
  if (corpus.empty()) return std::fprintf(stderr, "no corpus in %s\n", argv[1]), 1;
  pcg32 random(29);
  const int count = std::atoi(argv[2]);
  for (int i = 0; i < count; ++i)
    run_target(mutated(corpus[random() % corpus.size()], corpus[random() % corpus.size()], random));
  std::printf("%zu corpus inputs and %d mutated ones\n", corpus.size(), count);
  return 0;
}

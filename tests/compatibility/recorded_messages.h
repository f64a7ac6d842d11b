// Reads the recorded messages under tests/data/wire. Each line of a file has a message's name, a tab and its
// bytes, with backslash escapes for bytes that are not printable ASCII.
#pragma once

#include <cstdio>
#include <fstream>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

namespace damsonspoke::testing {

inline std::string escaped(std::string_view bytes) {
  std::string text;
  for (const char c : bytes) {
    if (c >= ' ' && c < 127 && c != '\\') {
      text += c;
      continue;
    }
    char code[8];
    std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned char>(c));
    text += code;
  }
  return text;
}

inline std::string unescaped(std::string_view text) {
  std::string bytes;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '\\') {
      bytes += text[at];
      continue;
    }
    bytes += static_cast<char>(std::stoi(std::string(text.substr(at + 2, 2)), nullptr, 16));
    at += 3;
  }
  return bytes;
}

// The messages of one file, by name. Throws std::runtime_error if the file can't be read.
inline std::map<std::string, std::string> recorded_messages(const std::string& file) {
  std::ifstream in(std::string(TEST_DATA_FOLDER) + "/wire/" + file);
  if (!in) throw std::runtime_error("cannot read the recorded messages " + file);
  std::map<std::string, std::string> messages;
  for (std::string line; std::getline(in, line);) {
    const std::size_t tab = line.find('\t');
    messages[line.substr(0, tab)] = unescaped(line.substr(tab + 1));
  }
  return messages;
}

}  // namespace damsonspoke::testing

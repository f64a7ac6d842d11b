// Reads and writes the fields of the simulator's protocol: little-endian, without padding, with bounds
// checks.
#pragma once

#include <bit>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>

namespace damsonspoke::benchlink {

static_assert(std::endian::native == std::endian::little,
              "the codec copies little-endian fields as they are");

struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  bool at_end() const { return bytes_.empty(); }

  template <typename T>
  T take() {
    T value;
    const std::string_view raw = take_bytes(sizeof value);
    std::memcpy(&value, raw.data(), sizeof value);
    return value;
  }

  std::string_view take_bytes(std::size_t count) {
    if (bytes_.size() < count) throw MalformedInput("truncated record: it ends in the middle of a field");
    const std::string_view raw = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return raw;
  }

  // Reads a number that is used as a time or a size and therefore must be finite.
  template <typename T>
  double take_number(const char* what) {
    const auto value = static_cast<double>(take<T>());
    if (!std::isfinite(value)) throw MalformedInput(std::string(what) + " is not a finite number");
    return value;
  }

 private:
  std::string_view bytes_;
};

class Writer {
 public:
  template <typename T>
  void put(T value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    bytes_.append(raw, sizeof value);
  }
  void begin_record(std::uint8_t code, std::uint32_t instance_id) {
    ++records_;
    put(code);
    put(instance_id);
  }
  void put_text(std::string_view text) {
    text = text.substr(0, 0xffff);
    put(static_cast<std::uint16_t>(text.size()));
    bytes_.append(text);
  }
  std::uint32_t records() const { return records_; }
  const std::string& bytes() const { return bytes_; }
  void clear() {
    records_ = 0;
    bytes_.clear();
  }

 private:
  std::uint32_t records_ = 0;
  std::string bytes_;
};

}  // namespace damsonspoke::benchlink

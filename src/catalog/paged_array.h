// An array of fixed length whose memory comes page by page as it is written to, and goes page by page. What
// was never written is zero. Guards against holding a caller up for as long as it takes to get, or to give
// back, tens of megabytes at once.
#pragma once

#include <cstdlib>
#include <memory>
#include <new>
#include <type_traits>
#include <vector>

namespace damsonspoke::catalog {

template <typename Value>
class PagedArray {
  static_assert(std::is_trivially_copyable_v<Value> && std::is_trivially_destructible_v<Value>);

 public:
  explicit PagedArray(std::size_t length) : pages_((length + kPageLength - 1) / kPageLength) {}

  const Value& operator[](std::size_t at) const {
    const Value* page = pages_[at / kPageLength].get();
    return page != nullptr ? page[at % kPageLength] : zero();
  }
  Value& writable(std::size_t at) {
    Page& page = pages_[at / kPageLength];
    if (page == nullptr) {
      page.reset(static_cast<Value*>(std::calloc(kPageLength, sizeof(Value))));
      if (page == nullptr) throw std::bad_alloc();
      ++in_use_;
    }
    return page[at % kPageLength];
  }
  std::size_t memory_bytes() const {
    return in_use_ * kPageLength * sizeof(Value) + pages_.size() * sizeof(Page);
  }
  // Gives back at most `count` pages, the last ones first, and the length with them. False when none are
  // left.
  bool release(std::size_t count) {
    for (; count > 0 && !pages_.empty(); --count) pages_.pop_back();
    return !pages_.empty();
  }

 private:
  static constexpr std::size_t kPageLength = 1024;
  struct Free {
    void operator()(Value* page) const { std::free(page); }
  };
  using Page = std::unique_ptr<Value[], Free>;
  static const Value& zero() {
    alignas(Value) static const unsigned char bytes[sizeof(Value)] = {};
    return *reinterpret_cast<const Value*>(bytes);
  }

  std::vector<Page> pages_;
  std::size_t in_use_ = 0;
};

}  // namespace damsonspoke::catalog

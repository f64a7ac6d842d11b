// An array of fixed length whose memory is allocated page by page on write and freed page by page. Elements
// that were never written are zero. This limits the time of each call: allocating or freeing tens of
// megabytes at once would block the caller for milliseconds.
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

  const Value& operator[](std::size_t index) const {
    const Value* page = pages_[index / kPageLength].get();
    return page != nullptr ? page[index % kPageLength] : zero();
  }

  // The element for writing; allocates its page if needed. Throws std::bad_alloc.
  Value& writable(std::size_t index) {
    Page& page = pages_[index / kPageLength];
    if (page == nullptr) {
      page = allocate_page();
      ++allocated_pages_;
    }
    return page[index % kPageLength];
  }

  std::size_t memory_bytes() const {
    return allocated_pages_ * kPageLength * sizeof(Value) + pages_.size() * sizeof(Page);
  }

  // Frees at most `count` pages from the end and shortens the array by them. Returns false when none are
  // left.
  bool release_pages(std::size_t count) {
    for (; count > 0 && !pages_.empty(); --count) pages_.pop_back();
    return !pages_.empty();
  }

 private:
  static constexpr std::size_t kPageLength = 1024;  // elements

  // Pages are allocated by calloc, which can return zeroed memory without writing to it.
  struct Free {
    // NOLINTNEXTLINE(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory)
    void operator()(Value* page) const { std::free(page); }
  };
  using Page = std::unique_ptr<Value[], Free>;

  static Page allocate_page() {
    // NOLINTNEXTLINE(cppcoreguidelines-no-malloc)
    Page page(static_cast<Value*>(std::calloc(kPageLength, sizeof(Value))));
    if (page == nullptr) throw std::bad_alloc();
    return page;
  }
  static const Value& zero() {
    alignas(Value) static const unsigned char kZeroBytes[sizeof(Value)] = {};
    return *reinterpret_cast<const Value*>(kZeroBytes);
  }

  std::vector<Page> pages_;
  std::size_t allocated_pages_ = 0;
};

}  // namespace damsonspoke::catalog

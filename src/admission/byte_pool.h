// Memory budget for admission, modelled on Apache Kafka's KIP-72: a request's bytes are charged to a pool
// when the request is admitted and released when it ends. Requests are admitted while the pool has capacity.
#pragma once

#include "admission/options.h"

namespace damsonspoke {

// Invariant: used_kb() is the sum of the charges that were not released. Sizes are kilobytes.
class BytePool {
 public:
  explicit BytePool(const AdmissionOptions& options);

  // Whether a request of this size could run with the pool to itself.
  [[nodiscard]] bool fits(double size_kb) const { return size_kb * running_size_factor_ <= capacity_kb_; }
  // Records the size of a request that was read. The pool reserves the memory to run the largest one seen.
  // Sizes that don't fit are ignored, because they would shrink the capacity for all other requests.
  void observe_size(double size_kb);

  // Changes a charge to `kb`; 0 releases it.
  void charge(double& charged_kb, double kb);
  // Clears the rounding error that has accumulated in the sum. Call only while nothing is charged.
  void reset() { used_kb_ = 0; }

  // Stored idempotency keys reduce the capacity for requests.
  [[nodiscard]] bool has_key_capacity() const;
  void charge_key() { keys_kb_ += key_kb_; }
  void release_key() { keys_kb_ -= key_kb_; }

  // The part of the memory that requests may use.
  [[nodiscard]] double request_capacity_kb() const {
    return capacity_kb_ - keys_kb_ - largest_size_kb_ * running_size_factor_;
  }
  [[nodiscard]] bool exhausted() const { return used_kb_ >= request_capacity_kb(); }
  // Whether changing a charge to `kb` stays within the capacity.
  [[nodiscard]] bool has_capacity(double charged_kb, double kb) const {
    return used_kb_ + kb - charged_kb <= request_capacity_kb();
  }
  [[nodiscard]] double running_kb(double size_kb) const { return size_kb * running_size_factor_; }
  [[nodiscard]] double used_kb() const { return used_kb_; }

 private:
  const double memory_kb_;
  const double capacity_kb_;
  const double running_size_factor_;
  const double key_kb_;
  double used_kb_ = 0;
  double keys_kb_ = 0;
  double largest_size_kb_ = 0;
};

}  // namespace damsonspoke

// The memory budget of admission after KIP-72: each request's bytes are charged to a pool when it is admitted
// and released when it is over. While there is capacity, requests are admitted.
#pragma once

#include "admission/options.h"

namespace damsonspoke {

// Invariant: used_kb() is the sum of the charges that were not released. Sizes are kilobytes.
class BytePool {
 public:
  explicit BytePool(const AdmissionOptions& options);

  // Whether a request of this size could run here at all.
  [[nodiscard]] bool fits(double size_kb) const { return size_kb * running_size_factor_ <= capacity_kb_; }
  // Capacity is kept back for the largest request that was seen to become a running one. Sizes that don't
  // fit are ignored: they must not shrink the capacity for the rest.
  void observe_size(double size_kb);

  // Changes a charge to `kb`; 0 releases it.
  void charge(double& charged_kb, double kb);
  // To be called when nothing is charged any more: discards what rounding has left in the sum.
  void reset() { used_kb_ = 0; }

  // The bytes of remembered idempotency keys shrink the capacity for requests.
  [[nodiscard]] bool has_key_capacity() const;
  void charge_key() { keys_kb_ += key_kb_; }
  void release_key() { keys_kb_ -= key_kb_; }

  // What requests may use.
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

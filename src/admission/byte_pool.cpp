#include "admission/byte_pool.h"

#include <algorithm>

namespace damsonspoke {
namespace {

constexpr double kCapacityShare = 0.92;  // of memory; the rest is for what the controller does not count
constexpr double kMaxKeyShare = 0.4;     // of memory, for idempotency keys; requests need the larger part

}  // namespace

BytePool::BytePool(const AdmissionOptions& options)
    : memory_kb_(options.memory_kb),
      capacity_kb_(options.memory_kb * kCapacityShare),
      running_size_factor_(options.running_size_factor),
      key_kb_(options.idempotency_key_kb) {}

void BytePool::observe_size(double size_kb) {
  if (fits(size_kb)) largest_size_kb_ = std::max(largest_size_kb_, size_kb);
}

void BytePool::charge(double& charged_kb, double kb) {
  used_kb_ += kb - charged_kb;
  charged_kb = kb;
}

bool BytePool::has_key_capacity() const {
  return keys_kb_ + key_kb_ <= memory_kb_ * kMaxKeyShare &&
         used_kb_ + keys_kb_ + key_kb_ + largest_size_kb_ * running_size_factor_ <= capacity_kb_;
}

}  // namespace damsonspoke

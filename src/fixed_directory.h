// A directory that never changes: the op types and customers of one backend's settings.
#pragma once

#include <algorithm>
#include <vector>

#include "decide.h"

namespace damsonspoke {

class FixedDirectory final : public Directory {
 public:
  explicit FixedDirectory(const Settings& settings)
      : op_types_(settings.op_types), customers_(settings.customers) {
    for (const OpType& type : op_types_) most_important_ = std::max(most_important_, type.importance);
    for (const Customer& customer : customers_) quotas_per_s_ += customer.quota_per_s;
  }

  const OpType& op_type(int position) const override { return op_types_[static_cast<std::size_t>(position)]; }
  Customer customer(int position) const override { return customers_[static_cast<std::size_t>(position)]; }
  std::size_t op_types() const override { return op_types_.size(); }
  std::size_t customers() const override { return customers_.size(); }
  std::size_t customer_positions() const override { return customers_.size(); }
  double quotas_per_s() const override { return quotas_per_s_; }
  double most_important() const override { return most_important_; }

 private:
  const std::vector<OpType> op_types_;
  const std::vector<Customer> customers_;
  double quotas_per_s_ = 0, most_important_ = 0;
};

}  // namespace damsonspoke

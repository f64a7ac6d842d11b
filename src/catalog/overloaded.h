// Combines lambdas into a visitor for std::visit, one lambda for each alternative.
#pragma once

namespace damsonspoke::catalog {

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace damsonspoke::catalog

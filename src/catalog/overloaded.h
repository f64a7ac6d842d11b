// Visits a std::variant with one lambda an alternative.
#pragma once

namespace damsonspoke::catalog {

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace damsonspoke::catalog

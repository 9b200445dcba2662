// Runs rapidcheck properties with a fixed seed, so that each test run gives the
// same result. RC_PARAMS overrides the seed.
#ifndef BERGAMOTSCALE_TESTS_PROPERTY_H_
#define BERGAMOTSCALE_TESTS_PROPERTY_H_

#include <cstdlib>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bergamotscale::testing {

// Checks a property. The seed is printed with a counterexample.
template <typename Property>
void CheckProperty(const std::string& description, Property property) {
  setenv("RC_PARAMS", "seed=20240601", 0);  // NOLINT: before any thread
  const bool holds = rc::check(description, std::move(property));
  CHECK_MESSAGE(holds, description);
}

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_PROPERTY_H_

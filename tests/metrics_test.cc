// Tests counters and distributions, and how metrics are rendered as text.
#include <string>

#include <doctest/doctest.h>

#include "src/metrics/metrics.h"

namespace bergamotscale::metrics {
namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("metrics: quantiles show once there are enough samples") {
  Metrics metrics;
  metrics.Observe("wait_ms", "quick", 10);
  const std::string few = metrics.Render();
  CHECK(Has(few, "wait_ms_count{label=\"quick\"} 1\n"));
  CHECK(Has(few, "wait_ms_mean{label=\"quick\"} 10\n"));
  CHECK(!Has(few, "quantile"));
  for (int i = 0; i < 1000; ++i) {
    metrics.Observe("wait_ms", "quick", 10);
  }
  CHECK(
      Has(metrics.Render(), "wait_ms{label=\"quick\",quantile=\"0.95\"} 10\n"));
}

TEST_CASE("metrics: counters add up by label") {
  Metrics metrics;
  metrics.Add("refused", "overloaded", 2);
  metrics.Add("refused", "overloaded");
  metrics.Set("revision", "", 7);
  CHECK(metrics.Counter("refused", "overloaded") == 3);
  CHECK(metrics.Counter("refused", "other") == 0);
  CHECK(Has(metrics.Render(), "refused{label=\"overloaded\"} 3\n"));
  CHECK(Has(metrics.Render(), "revision 7\n"));
}

}  // namespace
}  // namespace bergamotscale::metrics

// Counters, gauges and distributions, served as text at /metrics.
#ifndef BERGAMOTSCALE_SRC_METRICS_METRICS_H_
#define BERGAMOTSCALE_SRC_METRICS_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

namespace bergamotscale::metrics {

// A registry of metrics. Thread safety: safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter.
  // @param label the value of the counter's only label; may be empty.
  void Add(const std::string& name,
           const std::string& label = {},
           int64_t amount = 1);
  // Sets a gauge.
  void Set(const std::string& name, const std::string& label, double value);
  // Adds a sample to a distribution, which is rendered as count, mean, p50, p95
  // and p99.
  void Observe(const std::string& name,
               const std::string& label,
               double sample);

  // @return the value of a counter; zero if it does not exist.
  int64_t Counter(const std::string& name, const std::string& label = {}) const;

  // @return all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::metrics

#endif  // BERGAMOTSCALE_SRC_METRICS_METRICS_H_

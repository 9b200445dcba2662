#include "standins/engine/engine_settings.h"

#include <limits>

namespace bergamotscale::standins {
namespace {

using Need = settings::FieldReader::Need;

constexpr int kMaxPort = 65535;
constexpr int64_t kMaxMicros = int64_t{10} * 1000 * 1000;
constexpr int64_t kMaxTokens = 100000000;
constexpr int kMaxRunning = 4096;

void ReadMicros(settings::FieldReader& reader,
                const char* key,
                emulator::Micros* target) {
  int64_t count = target->count();
  reader.Integer(key, Need::kOptional, int64_t{0}, kMaxMicros, &count);
  *target = emulator::Micros(count);
}

void ReadTokens(settings::FieldReader& reader,
                const char* key,
                Tokens* target) {
  int64_t count = target->count();
  reader.Integer(key, Need::kOptional, int64_t{1}, kMaxTokens, &count);
  *target = Tokens(count);
}

void ReadParameters(settings::FieldReader& reader,
                    emulator::EngineParameters* parameters) {
  ReadMicros(reader, "step_base_us", &parameters->step_base_);
  ReadMicros(reader, "step_per_sequence_us", &parameters->step_per_sequence_);
  ReadMicros(reader, "prefill_per_token_us", &parameters->prefill_per_token_);
  ReadMicros(reader, "report_lag_us", &parameters->report_lag_);
  ReadMicros(reader, "cache_event_delay_us", &parameters->cache_event_delay_);
  ReadTokens(reader, "prefill_chunk", &parameters->prefill_chunk_);
  ReadTokens(reader, "kv_capacity", &parameters->kv_capacity_);
  ReadTokens(reader, "prefix_capacity", &parameters->prefix_capacity_);
  reader.Integer("max_running", Need::kOptional, 1, kMaxRunning,
                 &parameters->max_running_);
  reader.Boolean("honours_priority", Need::kOptional,
                 &parameters->honors_priority_);
  reader.Number("cache_event_loss", Need::kOptional, 0, 1,
                &parameters->cache_event_loss_);
  int64_t seed = 1;
  reader.Integer("seed", Need::kOptional, int64_t{0},
                 std::numeric_limits<int64_t>::max(), &seed);
  parameters->seed_ = static_cast<uint64_t>(seed);
}

}  // namespace

void ReadEngineSettings(settings::FieldReader& reader,
                        EngineSettings* settings) {
  reader.String("address", Need::kOptional, &settings->address_);
  reader.Integer("port", Need::kRequired, 1, kMaxPort, &settings->port_);
  reader.Strings("models", Need::kOptional, &settings->models_);
  reader.Boolean("checks_fence", Need::kOptional, &settings->checks_fence_);
  reader.Duration("load_time_ms", Need::kOptional, Millis(0), Millis(600000),
                  &settings->load_time_);
  reader.String("weight_store_url", Need::kOptional,
                &settings->weight_store_url_);
  reader.String("order_journal_file", Need::kOptional,
                &settings->order_journal_file_);
  reader.String("journal_file", Need::kOptional, &settings->journal_file_);
  reader.Object("engine", Need::kOptional,
                [settings](settings::FieldReader& engine) {
                  ReadParameters(engine, &settings->engine_);
                });
}

}  // namespace bergamotscale::standins

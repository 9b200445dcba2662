// Settings of the engine stand-in.
#ifndef BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_SETTINGS_H_
#define BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_SETTINGS_H_

#include <string>
#include <vector>

#include "src/emulator/engine_types.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::standins {

struct EngineSettings {
  std::string address_ = "127.0.0.1";
  int port_ = 0;
  // Models that are loaded at the start; empty accepts any model.
  std::vector<std::string> models_;
  // Whether an order with an old fencing number is refused.
  bool checks_fence_ = true;
  // Time that loading a model or an adapter takes.
  Millis load_time_ = Millis(0);
  // Where a load fetches its weights; empty if it needs none.
  std::string weight_store_url_;
  std::string journal_file_;
  // Appended to, a line for each order that was carried out.
  std::string order_journal_file_;
  emulator::EngineParameters engine_;
};

// Reads all members; "engine" holds the model's parameters. Durations of the
// engine's steps are in microseconds and named so.
void ReadEngineSettings(settings::FieldReader& reader,
                        EngineSettings* settings);

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_SETTINGS_H_

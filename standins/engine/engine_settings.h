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
  // Models loaded at the start; if empty, any model is accepted.
  std::vector<std::string> models_;
  // Whether orders with an outdated fencing number are refused.
  bool checks_fence_ = true;
  // Time that loading a model takes, after its weights are fetched.
  Millis load_time_ = Millis(0);
  // Base URL of the weight store; if empty, weights are not fetched.
  std::string weight_store_url_;
  std::string journal_file_;
  // One line is appended for each executed order; empty for none.
  std::string order_journal_file_;
  emulator::EngineParameters engine_;
};

// Reads all fields; "engine" holds the engine model's parameters. Durations of
// the model's steps are in microseconds and have names ending in "_us".
void ReadEngineSettings(settings::FieldReader& reader,
                        EngineSettings* settings);

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_SETTINGS_H_

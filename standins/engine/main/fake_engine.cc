#include "src/process/process.h"
#include "standins/engine/engine_server.h"

int main(int argc, char** argv) {
  using bergamotscale::settings::FieldReader;
  using namespace bergamotscale::standins;  // NOLINT: the stand-in's own names

  EngineSettings settings;
  bergamotscale::process::ProcessOptions options;
  options.summary_ = "stand-in of a model engine";
  options.read_settings_ = [&settings](FieldReader& reader) {
    ReadEngineSettings(reader, &settings);
  };
  options.run_ = [&settings] {
    EngineServer server(settings);
    return bergamotscale::process::ServeUntilStop(
        [&server] { return server.Open(); }, [&server] { server.Close(); });
  };
  return bergamotscale::process::RunProcess(argc, argv, options);
}

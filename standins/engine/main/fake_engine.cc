#include <glog/logging.h>

#include "src/process/process.h"
#include "standins/engine/engine_server.h"

int main(int argc, char** argv) {
  using bergamotscale::Status;
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
    const Status opened = server.Open();
    if (!opened.ok()) {
      LOG(ERROR) << opened.error().Message();
      return 1;
    }
    bergamotscale::process::WaitForStop();
    server.Close();
    return 0;
  };
  return bergamotscale::process::RunProcess(argc, argv, options);
}

// bergamot_console: operators' forms, publication of the configuration.
#include <glog/logging.h>

#include "src/console/console.h"
#include "src/process/process.h"

int main(int argc, char** argv) {
  namespace console = bergamotscale::console;
  namespace process = bergamotscale::process;
  console::ConsoleSettings settings;
  process::ProcessOptions options;
  options.summary_ = "operators' forms for the configuration";
  options.read_settings_ =
      [&settings](bergamotscale::settings::FieldReader& reader) {
        console::ReadConsoleSettings(reader, &settings);
      };
  options.run_ = [&settings] {
    console::Console console(settings);
    const bergamotscale::Status started = console.Start();
    if (!started.ok()) {
      LOG(ERROR) << started.error().Message();
      return 1;
    }
    process::WaitForStop();
    console.Stop();
    return 0;
  };
  return process::RunProcess(argc, argv, options);
}

// bergamot_console: serves forms with which operators edit and publish the
// configuration.
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
    return process::ServeUntilStop([&console] { return console.Start(); },
                                   [&console] { console.Stop(); });
  };
  return process::RunProcess(argc, argv, options);
}

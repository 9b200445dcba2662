// bergamot_entry: takes callers' requests.
#include "src/entry/entry.h"
#include "src/entry/settings.h"
#include "src/process/process.h"

int main(int argc, char** argv) {
  namespace entry = bergamotscale::entry;
  namespace process = bergamotscale::process;
  entry::EntrySettings settings;
  process::ProcessOptions options;
  options.summary_ = "routes callers' requests to upstreams";
  options.read_settings_ =
      [&settings](bergamotscale::settings::FieldReader& reader) {
        entry::ReadEntrySettings(reader, &settings);
      };
  options.run_ = [&settings] {
    entry::Entry entry(settings);
    return process::ServeUntilStop([&entry] { return entry.Start(); },
                                   [&entry] { entry.Stop(); });
  };
  return process::RunProcess(argc, argv, options);
}

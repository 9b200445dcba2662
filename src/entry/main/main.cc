// bergamot_entry: accepts callers' requests and routes them to upstreams.
#include "src/entry/entry.h"
#include "src/entry/settings.h"
#include "src/process/process.h"

int main(int argc, char** argv) {
  namespace entry = bergamotscale::entry;
  namespace process = bergamotscale::process;
  entry::EntrySettings settings;
  process::ProcessOptions options;
  options.summary_ = "routes callers' requests to upstreams";
  // Requests run on this thread too; see http::HttpThread.
  options.http_threads_ = 1;
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

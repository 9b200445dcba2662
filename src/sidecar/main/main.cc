// bergamot_sidecar: the process beside one upstream.
#include "src/process/process.h"
#include "src/sidecar/sidecar.h"

namespace {

using bergamotscale::sidecar::ReadSidecarSettings;
using bergamotscale::sidecar::Sidecar;
using bergamotscale::sidecar::SidecarSettings;

int RunSidecar(const SidecarSettings& settings) {
  Sidecar sidecar(settings, bergamotscale::process::RequestStop);
  return bergamotscale::process::ServeUntilStop(
      [&sidecar] { return sidecar.Start(); }, [&sidecar] { sidecar.Stop(); });
}

}  // namespace

int main(int argc, char** argv) {
  SidecarSettings settings;
  bergamotscale::process::ProcessOptions options;
  options.summary_ = "process beside one upstream, an engine or plain service";
  options.read_settings_ =
      [&settings](bergamotscale::settings::FieldReader& reader) {
        ReadSidecarSettings(reader, &settings);
      };
  options.run_ = [&settings] { return RunSidecar(settings); };
  return bergamotscale::process::RunProcess(argc, argv, options);
}

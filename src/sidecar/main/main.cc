// bergamot_sidecar: the sidecar process of one upstream.
#include "src/process/process.h"
#include "src/sidecar/sidecar.h"

namespace {

using bergamotscale::sidecar::ReadSidecarSettings;
using bergamotscale::sidecar::Sidecar;
using bergamotscale::sidecar::SidecarSettings;

int RunSidecar(const SidecarSettings& settings) {
  Sidecar sidecar(settings, bergamotscale::process::RequestStop,
                  bergamotscale::sidecar::TrafficThread::kHttp);
  return bergamotscale::process::ServeUntilStop(
      [&sidecar] { return sidecar.Start(); }, [&sidecar] { sidecar.Stop(); });
}

}  // namespace

int main(int argc, char** argv) {
  SidecarSettings settings;
  bergamotscale::process::ProcessOptions options;
  options.summary_ = "process beside one upstream, an engine or plain service";
  // Traffic shares the HTTP library's single thread: see http::HttpThread.
  options.http_threads_ = 1;
  options.read_settings_ =
      [&settings](bergamotscale::settings::FieldReader& reader) {
        ReadSidecarSettings(reader, &settings);
      };
  options.run_ = [&settings] { return RunSidecar(settings); };
  return bergamotscale::process::RunProcess(argc, argv, options);
}

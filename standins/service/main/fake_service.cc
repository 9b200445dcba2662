#include "src/process/process.h"
#include "standins/service/service_server.h"

int main(int argc, char** argv) {
  using bergamotscale::settings::FieldReader;
  using namespace bergamotscale::standins;  // NOLINT: the stand-in's own names

  ServiceSettings settings;
  bergamotscale::process::ProcessOptions options;
  options.summary_ = "stand-in of a plain service";
  options.read_settings_ = [&settings](FieldReader& reader) {
    ReadServiceSettings(reader, &settings);
  };
  options.run_ = [&settings] {
    ServiceServer server(settings);
    return bergamotscale::process::ServeUntilStop(
        [&server] { return server.Open(); }, [&server] { server.Close(); });
  };
  return bergamotscale::process::RunProcess(argc, argv, options);
}

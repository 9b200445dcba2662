#include <glog/logging.h>

#include "src/process/process.h"
#include "standins/service/service_server.h"

int main(int argc, char** argv) {
  using bergamotscale::Status;
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

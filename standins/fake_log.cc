// A stand-in for the platform's log service.
#include "src/process/process.h"
#include "standins/platform/log_server.h"

namespace {

using bergamotscale::Millis;
using bergamotscale::settings::FieldReader;
using bergamotscale::standins::LogServer;
using bergamotscale::standins::LogServerOptions;
using Need = FieldReader::Need;

constexpr Millis kMaxRetention = Millis(int64_t{30} * 24 * 3600 * 1000);

void ReadSettings(FieldReader& reader, LogServerOptions* options) {
  reader.String("address", Need::kOptional, &options->address_);
  int port = 0;
  reader.Integer("port", Need::kRequired, 1, 65535, &port);
  options->port_ = static_cast<uint16_t>(port);
  reader.Integer("appends_per_second", Need::kOptional, 1, 1000000,
                 &options->store_.appends_per_second_);
  reader.Duration("retention_ms", Need::kOptional, Millis(1), kMaxRetention,
                  &options->store_.retention_);
  reader.Integer("retained_records", Need::kOptional, 1, 100000000,
                 &options->store_.retained_records_);
  reader.String("journal_file", Need::kOptional, &options->journal_file_);
  reader.Boolean("restore", Need::kOptional, &options->restore_);
}

int Run(const LogServerOptions& options) {
  LogServer server(options);
  return bergamotscale::process::ServeUntilStop(
      [&server] { return server.Open(); }, [&server] { server.Close(); });
}

}  // namespace

int main(int argc, char** argv) {
  LogServerOptions options;
  bergamotscale::process::ProcessOptions process;
  process.summary_ = "stand-in of the platform's append-only log service";
  process.read_settings_ = [&](FieldReader& reader) {
    ReadSettings(reader, &options);
  };
  process.run_ = [&] { return Run(options); };
  return bergamotscale::process::RunProcess(argc, argv, process);
}

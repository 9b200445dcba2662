// Common startup of all binaries: flags, settings, logs, threads and signals.
#ifndef BERGAMOTSCALE_SRC_PROCESS_PROCESS_H_
#define BERGAMOTSCALE_SRC_PROCESS_PROCESS_H_

#include <functional>
#include <string>

#include "bergamotscale/result.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::process {

// Description and entry points of a binary.
struct ProcessOptions {
  // One line for --help.
  std::string summary_;
  // Reads the settings file. On an error, RunProcess() returns 2.
  std::function<void(settings::FieldReader&)> read_settings_;
  // Runs the binary until WaitForStop() returns.
  // @return the exit code.
  std::function<int()> run_;
  // Threads of the HTTP library's pool.
  int http_threads_ = 4;
};

// Handles --help, --version, --settings and --check_settings, starts glog and
// the HTTP library's thread pool, and calls run_. Call once, from main().
// @return the exit code of the process: 0 on success, 2 for wrong flags or
// settings.
int RunProcess(int argc, char** argv, const ProcessOptions& options);

// Blocks until SIGTERM or SIGINT, or until RequestStop(). Call from run_.
void WaitForStop();

// Runs the server of a binary: start, WaitForStop(), stop. Logs a failed start.
// Call from run_.
// @return the exit code: 0, or 1 if start failed.
int ServeUntilStop(const std::function<Status()>& start,
                   const std::function<void()>& stop);

// Makes WaitForStop() return. Thread safety: safe.
void RequestStop();

}  // namespace bergamotscale::process

#endif  // BERGAMOTSCALE_SRC_PROCESS_PROCESS_H_

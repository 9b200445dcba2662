#include "src/process/process.h"

#include <csignal>
#include <iostream>

#include <cpprest/asyncrt_utils.h>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <pplx/threadpool.h>

DEFINE_string(settings, "", "settings file, JSON with comments");
DEFINE_bool(check_settings, false, "check the settings file and exit");

// Defined by gflags; read here to choose the exit code.
DECLARE_bool(help);
DECLARE_bool(version);
DECLARE_bool(helpshort);

namespace bergamotscale::process {
namespace {

constexpr int kExitUsage = 2;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Threads inherit the mask, so only WaitForStop() receives these signals.
void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void PrintHelp(const std::string& program, const std::string& summary) {
  std::cout << program << ": " << summary << "\n\n"
            << "usage: " << program << " --settings=FILE [flags]\n"
            << "  --settings=FILE    settings, JSON with comments\n"
            << "  --check_settings   check the settings and exit\n"
            << "  --help             print this text\n"
            << "  --version          print the version\n"
            << "  --v=N              log level of detail\n"
            << "  --minloglevel=N    0 info, 1 warning, 2 error, 3 fatal\n";
}

}  // namespace

int RunProcess(int argc, char** argv, const ProcessOptions& options) {
  gflags::SetVersionString(BERGAMOTSCALE_VERSION);
  FLAGS_logtostderr = true;
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  const std::string program = gflags::ProgramInvocationShortName();
  if (FLAGS_help || FLAGS_helpshort) {
    PrintHelp(program, options.summary_);
    return 0;
  }
  if (FLAGS_version) {
    std::cout << program << " " << BERGAMOTSCALE_VERSION << "\n";
    return 0;
  }
  const Status read =
      settings::ReadFile(FLAGS_settings, options.read_settings_);
  if (!read.ok()) {
    std::cerr << read.error().detail_ << "\n";
    return kExitUsage;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": ok\n";
    return 0;
  }
  google::InitGoogleLogging(argv[0]);
  BlockStopSignals();
  crossplat::threadpool::initialize_with_threads(options.http_threads_);
  return options.run_();
}

void WaitForStop() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  LOG(INFO) << "stop requested by signal " << received;
}

int ServeUntilStop(const std::function<Status()>& start,
                   const std::function<void()>& stop) {
  const Status started = start();
  if (!started.ok()) {
    LOG(ERROR) << started.error().Message();
    return 1;
  }
  WaitForStop();
  stop();
  return 0;
}

void RequestStop() {
  kill(getpid(), SIGTERM);
}

}  // namespace bergamotscale::process

// bergamotctl: the operators' command-line program.
#include <iostream>
#include <string>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include "tools/ctl/command.h"

DECLARE_bool(help);
DECLARE_bool(helpshort);
DECLARE_bool(version);
DECLARE_bool(check_settings);

namespace bergamotscale::ctl {
namespace {

void PrintHelp() {
  std::cout << "bergamotctl: configures and inspects bergamotscale\n\n"
            << "usage: bergamotctl COMMAND [arguments] [flags]\n"
            << "       bergamotctl COMMAND --help\n"
            << "       bergamotctl --version\n\n";
  for (const Command& command : Commands()) {
    std::cout << "  " << command.name_ << " " << command.usage_ << "\n";
  }
}

void PrintHelp(const Command& command) {
  std::cout << "usage: bergamotctl " << command.name_ << " " << command.usage_
            << "\n\n"
            << command.summary_ << "\n";
}

const Command* FindCommand(const std::string& name) {
  for (const Command& command : Commands()) {
    if (command.name_ == name) {
      return &command;
    }
  }
  return nullptr;
}

int Run(const Arguments& arguments) {
  if (FLAGS_version) {
    std::cout << "bergamotctl " << BERGAMOTSCALE_VERSION << "\n";
    return kExitOk;
  }
  if (FLAGS_check_settings) {
    std::cout << "bergamotctl reads no settings file: ok\n";
    return kExitOk;
  }
  const bool help = FLAGS_help || FLAGS_helpshort;
  if (arguments.empty()) {
    PrintHelp();
    return help ? kExitOk : kExitUsage;
  }
  const Command* command = FindCommand(arguments.front());
  if (command == nullptr) {
    std::cerr << "no such command: " << arguments.front() << "\n";
    return kExitUsage;
  }
  if (help) {
    PrintHelp(*command);
    return kExitOk;
  }
  return command->run_({arguments.begin() + 1, arguments.end()});
}

}  // namespace
}  // namespace bergamotscale::ctl

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_ERROR;
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  return bergamotscale::ctl::Run({argv + 1, argv + argc});
}

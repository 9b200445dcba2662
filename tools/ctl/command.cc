#include "tools/ctl/command.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace bergamotscale::ctl {
namespace {

Result<std::string> ReadText(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return Error(ErrorCode::kNotFound, file);
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {"check", "FILE...", "Checks configuration documents.", &RunCheck},
      {"publish", "FILE --log=URL [--base=N] [--author=NAME] [--comment=TEXT]",
       "Publishes a document that was edited from revision N, by default the\n"
       "revision in force. Exit code 0: accepted, 1: not published,\n"
       "3: conflict, 4: pending under the id that is printed.",
       &RunPublish},
      {"restore", "FILE --log=URL --revision=N",
       "Puts a document in force when the log no longer contains a revision,\n"
       "because every process was down for longer than the log keeps records.\n"
       "N must be above any revision that was ever in force.",
       &RunRestore},
      {"config", "--log=URL", "Prints the document in force.", &RunConfig},
      {"history", "--log=URL", "Prints the result of each publication.",
       &RunHistory},
      {"status", "URL...", "Prints whether processes are up and ready.",
       &RunStatus},
      {"timeline", "URL... [--output=FILE]",
       "Merges the time lines of processes into the Chrome trace format.",
       &RunTimeline},
      {"explain", "REQUEST_ID URL...",
       "Explains in words how a request was handled, from the time lines of\n"
       "the processes at these URLs.",
       &RunExplain},
      {"load",
       "--entries=URL,... [--engines=URL,...] [--mix=tagworks|stoves]\n"
       "  [--seed=N] [--rate=N] [--seconds=N] [--leavers=SHARE] "
       "[--crashing=N]\n"
       "  [--burst_class=NAME --burst_factor=N --burst_start=S "
       "--burst_seconds=S]\n"
       "  [--keys=KEY,...] [--json=FILE] [--print_config]",
       "Sends an open-loop workload modelled after a user's mix and reports\n"
       "targets, refusals, goodput and, with --engines, wasted tokens by "
       "class.\n"
       "The same seed gives the same arrivals. --print_config prints a "
       "document\n"
       "that fits the workload.",
       &RunLoad},
      {"experiment",
       "[--user=NAME] [--scenario=NAMES] [--policy=NAMES] [--seeds=1,2,3]\n"
       "      [--plots=FOLDER]",
       "Compares the policies without sockets and prints a table; with\n"
       "--plots it also writes data and scripts for gnuplot.",
       &RunExperiment},
      {"hash_key", "[KEY]",
       "Prints the hash of a workspace key; without KEY, of a new random one.",
       &RunHashKey},
      {"hash_password", "",
       "Reads a password from standard input and prints its hash.",
       &RunHashPassword},
  };
  return kCommands;
}

int FailUsage(const char* name) {
  for (const Command& command : Commands()) {
    if (command.name_ == std::string(name)) {
      std::cerr << "usage: bergamotctl " << name << " " << command.usage_
                << "\n";
    }
  }
  return kExitUsage;
}

int Fail(const Error& error) {
  std::cerr << error.Message() << "\n";
  return kExitFailed;
}

Result<ConfigDocument> ReadDocument(const std::string& file) {
  const Result<std::string> text = ReadText(file);
  if (!text.ok()) {
    return text.error();
  }
  return ParseConfigDocument(text.value(), file);
}

}  // namespace bergamotscale::ctl

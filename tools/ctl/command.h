// The subcommands of bergamotctl and the functions that they share.
#ifndef BERGAMOTSCALE_TOOLS_CTL_COMMAND_H_
#define BERGAMOTSCALE_TOOLS_CTL_COMMAND_H_

#include <string>
#include <vector>

#include "bergamotscale/config_document.h"
#include "bergamotscale/result.h"

namespace bergamotscale::ctl {

// Exit codes of all subcommands.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitConflict = 3;
inline constexpr int kExitPending = 4;

using Arguments = std::vector<std::string>;

struct Command {
  const char* name_;
  // The arguments and flags, such as "FILE --log=URL".
  const char* usage_;
  // What it does, in one or more lines.
  const char* summary_;
  // @param arguments those after the subcommand's name, without flags.
  // @return the exit code.
  int (*run_)(const Arguments& arguments);
};

// Each subcommand, in the order of --help.
const std::vector<Command>& Commands();

// Prints the usage of a command to standard error. @return kExitUsage.
int FailUsage(const char* name);

// Prints an error to standard error. @return kExitFailed.
int Fail(const Error& error);

// @return the configuration document in a file, or an error that names its
// faults.
Result<ConfigDocument> ReadDocument(const std::string& file);

// The subcommands, one in each file of this directory.
int RunCheck(const Arguments& arguments);
int RunPublish(const Arguments& arguments);
int RunRestore(const Arguments& arguments);
int RunConfig(const Arguments& arguments);
int RunHistory(const Arguments& arguments);
int RunStatus(const Arguments& arguments);
int RunTimeline(const Arguments& arguments);
int RunExplain(const Arguments& arguments);
int RunLoad(const Arguments& arguments);
int RunExperiment(const Arguments& arguments);
int RunHashKey(const Arguments& arguments);
int RunHashPassword(const Arguments& arguments);

}  // namespace bergamotscale::ctl

#endif  // BERGAMOTSCALE_TOOLS_CTL_COMMAND_H_

// The load subcommand of the command-line program.
#ifndef BERGAMOTSCALE_SRC_LOAD_LOAD_COMMAND_H_
#define BERGAMOTSCALE_SRC_LOAD_LOAD_COMMAND_H_

namespace bergamotscale::load {

// Runs the workload given by flags, prints a table and optionally writes JSON.
// Flags must be parsed and the HTTP library's thread pool started. Call from
// the main thread.
// @return the exit code: 0, 1 if a response was wrong, 2 for wrong flags.
int RunLoadCommand();

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_LOAD_COMMAND_H_

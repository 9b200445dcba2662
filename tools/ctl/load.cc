#include <pplx/threadpool.h>

#include "src/load/load_command.h"
#include "tools/ctl/command.h"

namespace bergamotscale::ctl {
namespace {

constexpr int kHttpThreads = 4;

}  // namespace

int RunLoad(const Arguments& /*arguments*/) {
  crossplat::threadpool::initialize_with_threads(kHttpThreads);
  return load::RunLoadCommand();
}

}  // namespace bergamotscale::ctl

#include <iostream>

#include "bergamotscale/config_document.h"
#include "tools/ctl/command.h"

namespace bergamotscale::ctl {

int RunCheck(const Arguments& arguments) {
  if (arguments.empty()) {
    return FailUsage("check");
  }
  int exit_code = kExitOk;
  for (const std::string& file : arguments) {
    const Result<ConfigDocument> document = ReadDocument(file);
    if (document.ok()) {
      std::cout << file << ": ok\n";
    } else {
      exit_code = Fail(document.error());
    }
  }
  return exit_code;
}

}  // namespace bergamotscale::ctl

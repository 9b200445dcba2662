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
    const Result<std::string> text = ReadText(file);
    if (!text.ok()) {
      exit_code = Fail(text.error());
      continue;
    }
    const Result<ConfigDocument> parsed =
        ParseConfigDocument(text.value(), file);
    if (parsed.ok()) {
      std::cout << file << ": ok\n";
    } else {
      std::cerr << parsed.error().detail_ << "\n";
      exit_code = kExitFailed;
    }
  }
  return exit_code;
}

}  // namespace bergamotscale::ctl

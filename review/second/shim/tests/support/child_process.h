// Stands in for tests/support/child_process.h, so that the stand-ins of
// tests/support/gateway_process.h build with the packages of the deploy file
// alone.
#ifndef BERGAMOTSCALE_REVIEW_SECOND_SHIM_CHILD_PROCESS_H_
#define BERGAMOTSCALE_REVIEW_SECOND_SHIM_CHILD_PROCESS_H_

#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace bergamotscale::tests {

// A temporary folder, removed by the destructor.
class ScratchFolder {
 public:
  ScratchFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "bergamot-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~ScratchFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  std::string File(const std::string& name) const {
    return (path_ / name).string();
  }

 private:
  std::filesystem::path path_;
};

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_REVIEW_SECOND_SHIM_CHILD_PROCESS_H_

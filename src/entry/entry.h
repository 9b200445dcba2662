// The entry process, put together.
#ifndef BERGAMOTSCALE_SRC_ENTRY_ENTRY_H_
#define BERGAMOTSCALE_SRC_ENTRY_ENTRY_H_

#include <memory>

#include "bergamotscale/result.h"
#include "src/entry/settings.h"

namespace bergamotscale::entry {

// Runs traffic on the HTTP library's thread, see http::HttpThread, and one
// control thread. One instance a process: Stop() ends the library's thread.
// Thread safety: use from one thread.
class Entry {
 public:
  explicit Entry(EntrySettings settings);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Opens all sides. @return why it can't, such as a port in use.
  Status Start();

  // Stops gracefully: readiness fails first, then no new connections are
  // accepted, and every answer in flight ends before this returns.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_ENTRY_H_

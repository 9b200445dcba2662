// The entry process: accepts requests of callers and routes them to upstreams.
#ifndef BERGAMOTSCALE_SRC_ENTRY_ENTRY_H_
#define BERGAMOTSCALE_SRC_ENTRY_ENTRY_H_

#include <memory>

#include "bergamotscale/result.h"
#include "src/entry/settings.h"

namespace bergamotscale::entry {

// Owns all components of an entry. Requests run on the HTTP library's thread
// (see http::HttpThread), and configuration, membership and placement on one
// control thread. Create one per process: Stop() ends the library's thread.
// Thread safety: use from one thread.
class Entry {
 public:
  explicit Entry(EntrySettings settings);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Opens the listeners and starts all components.
  // @return an error such as a port in use.
  Status Start();

  // Drains and stops: fails readiness, then stops accepting connections, then
  // blocks until every response in flight has ended.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_ENTRY_H_

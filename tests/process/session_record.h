// What a session over real processes left in their time lines, as text that is
// the same in each run.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_SESSION_RECORD_H_
#define BERGAMOTSCALE_TESTS_PROCESS_SESSION_RECORD_H_

#include <string>
#include <vector>

#include "src/timeline/timeline.h"
#include "tests/process/cluster.h"

namespace bergamotscale::testing {

// @return the events of one process over HTTP; empty if it doesn't answer.
std::vector<timeline::Event> ReadTimeline(const Cluster& cluster,
                                          const std::string& name);

// @return how many events of that type a process tells.
int CountEvents(const Cluster& cluster,
                const std::string& name,
                timeline::EventType type);

// Thread safety: use on the test's main thread.
class SessionRecord {
 public:
  explicit SessionRecord(const Cluster& cluster) : cluster_(cluster) {}

  // Notes a line of what the callers saw.
  void AddLine(const std::string& line) { lines_ += Normalise(line) + "\n"; }
  // Takes the time line of a process as it is now.
  void Collect(const std::string& name);

  // @return the notes; for each request, in the order of arrival, what
  // `explain` tells, process by process; and each process's own events, those
  // of its peers apart. Times, ids and measured figures are replaced.
  std::string Text() const;

  // Checks that the merged order shows no effect before its cause.
  void CheckCauses() const;

 private:
  static std::string Normalise(const std::string& text);
  std::vector<timeline::Event> Merged() const;
  std::vector<RequestId> Requests() const;
  std::string RequestText(const std::vector<timeline::Event>& merged,
                          const RequestId& id) const;
  std::string ProcessText(const std::vector<timeline::Event>& events) const;

  const Cluster& cluster_;
  std::string lines_;
  std::vector<std::vector<timeline::Event>> timelines_;
};

// Compares with tests/golden/NAME.txt; BERGAMOTSCALE_WRITE_GOLDEN=1 in the
// environment writes the file instead.
void CheckGolden(const std::string& name, const std::string& text);

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_PROCESS_SESSION_RECORD_H_

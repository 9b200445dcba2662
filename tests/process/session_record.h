// Converts the timelines of a session of real processes to text that is the
// same in each run.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_SESSION_RECORD_H_
#define BERGAMOTSCALE_TESTS_PROCESS_SESSION_RECORD_H_

#include <string>
#include <vector>

#include "src/timeline/timeline.h"
#include "tests/process/cluster.h"

namespace bergamotscale::testing {

// @return the timeline of one process, read over HTTP; empty if it doesn't
// answer.
std::vector<timeline::Event> ReadTimeline(const Cluster& cluster,
                                          const std::string& name);

// @return the number of events of that type in a process's timeline.
int CountEvents(const Cluster& cluster,
                const std::string& name,
                timeline::EventType type);

// Collects responses and timelines of one session.
// Thread safety: use on the test's main thread.
class SessionRecord {
 public:
  explicit SessionRecord(const Cluster& cluster) : cluster_(cluster) {}

  // Adds a line about a response that a caller received.
  void AddLine(const std::string& line) { lines_ += Normalise(line) + "\n"; }
  // Adds the current timeline of a process.
  void Collect(const std::string& name);

  // @return the added lines; then, for each request in order of arrival, the
  // output of `explain`, grouped by process; then the events of each process
  // that belong to no request, grouped by peer. Times, ids and measured values
  // are replaced by placeholders.
  std::string Text() const;

  // Checks that no effect comes before its cause in the merged timelines.
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

// Compares the text with tests/golden/NAME.txt. With
// BERGAMOTSCALE_WRITE_GOLDEN=1 in the environment, writes the file instead.
void CheckGolden(const std::string& name, const std::string& text);

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_PROCESS_SESSION_RECORD_H_

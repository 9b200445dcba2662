#include "src/gateway/decision_log.h"

#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>

#include "src/core/chrono_time.h"

namespace bergamotscale::gateway {
namespace {

// Limit of buffered lines, enough for a few seconds of a busy instance.
constexpr size_t kMaxPendingBytes = size_t{256} << 10;
// Lines are written at this interval, or as soon as they exceed this size.
constexpr Millis kWriteInterval{200};
constexpr size_t kWriteBytes = size_t{16} << 10;
// Limit of a flush, which delays the exit while the output blocks.
constexpr Millis kMaxFlushTime{500};

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

// Values may contain bytes from callers: control characters are replaced, so
// that no value can end the line.
void AppendQuoted(std::string_view value, std::string* text) {
  *text += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      *text += '\\';
    }
    *text += static_cast<unsigned char>(c) < ' ' ? '?' : c;
  }
  *text += '"';
}

// @return the size of the whole lines that fit in one atomic write to a pipe,
// at least one line. Without atomic writes, the lines of processes that write
// to the same reader could be mixed.
size_t WholeLinesSize(std::string_view text) {
  if (text.size() <= PIPE_BUF) {
    return text.size();
  }
  const size_t last = text.rfind('\n', PIPE_BUF - 1);
  return (last == std::string_view::npos ? text.find('\n') : last) + 1;
}

}  // namespace

LogLine::LogLine(std::string_view event) : text_("event=") {
  text_ += event;
}

LogLine& LogLine::Add(std::string_view name, std::string_view value) {
  text_ += ' ';
  text_ += name;
  text_ += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(value, &text_);
  } else {
    text_ += value;
  }
  return *this;
}

LogLine& LogLine::Add(std::string_view name, int64_t value) {
  return Add(name, std::string_view(std::to_string(value)));
}

// Holds the lines until the thread that runs Run() has written them.
class DecisionLog::Writer {
 public:
  Writer(int fd, Clock wall)
      : is_standard_(fd <= STDERR_FILENO),
        fd_(is_standard_ ? fd : fcntl(fd, F_DUPFD_CLOEXEC, 0)),
        wall_(std::move(wall)) {
    const int flags = fcntl(fd_, F_GETFL, 0);
    if (flags >= 0) {
      fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
    }
  }
  ~Writer() {
    if (!is_standard_) {
      close(fd_);
    }
  }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void Add(const LogLine& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pending_.size() + being_written_ + line.text().size() >
        kMaxPendingBytes) {
      ++dropped_;
      ++unreported_;
      return;
    }
    Append(line.text());
    if (pending_.size() > kWriteBytes && !blocked_) {
      wake_.notify_one();
    }
  }

  bool Flush() {
    std::unique_lock<std::mutex> lock(mutex_);
    const int64_t request = ++flushes_requested_;
    wake_.notify_one();
    return flushed_.wait_for(lock, ToChrono(kMaxFlushTime), [this, request] {
      return flushes_done_ >= request;
    });
  }

  void Stop() {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    wake_.notify_one();
  }

  // Writes until Stop() is called.
  void Run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
      wake_.wait_for(lock, ToChrono(kWriteInterval), [this] {
        return stopping_ || flushes_done_ != flushes_requested_ ||
               (pending_.size() > kWriteBytes && !blocked_);
      });
      const int64_t flushes = flushes_requested_;
      WritePending(&lock);
      flushes_done_ = flushes;
      flushed_.notify_all();
    }
  }

  int64_t dropped() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return dropped_;
  }

 private:
  // Precondition: the mutex is held.
  void Append(const std::string& text) {
    pending_ += "t=" + std::to_string(wall_.Now().count()) + " " + text + "\n";
  }

  // Writes until nothing is pending or the output would block. Releases the
  // mutex meanwhile.
  void WritePending(std::unique_lock<std::mutex>* lock) {
    while (!stopping_ && (!batch_.empty() || !pending_.empty())) {
      if (batch_.empty()) {
        batch_.swap(pending_);
      }
      being_written_ = batch_.size();
      lock->unlock();
      const size_t written = WriteLines(batch_);
      lock->lock();
      batch_.erase(0, written);
      being_written_ = batch_.size();
      blocked_ = !batch_.empty();
      if (blocked_) {
        return;
      }
      if (pending_.empty() && unreported_ > 0) {
        Append(LogLine("log_lines_dropped").Add("lines", unreported_).text());
        unreported_ = 0;
      }
    }
  }

  // @return the size of what was written.
  size_t WriteLines(std::string_view lines) const {
    size_t done = 0;
    while (done < lines.size()) {
      const ssize_t written =
          write(fd_, lines.data() + done, WholeLinesSize(lines.substr(done)));
      if (written <= 0) {
        break;
      }
      done += static_cast<size_t>(written);
    }
    return done;
  }

  // The standard streams stay open; another descriptor may be closed while the
  // thread still writes, so that one is duplicated.
  const bool is_standard_;
  const int fd_;
  const Clock wall_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;     // notified when there is work
  std::condition_variable flushed_;  // notified after each pass
  std::string pending_;
  std::string batch_;  // used by the writing thread only
  size_t being_written_ = 0;
  bool blocked_ = false;
  bool stopping_ = false;
  int64_t flushes_requested_ = 0;
  int64_t flushes_done_ = 0;
  int64_t dropped_ = 0;
  int64_t unreported_ = 0;  // dropped lines that are not logged yet
};

DecisionLog::DecisionLog(int fd, Clock wall)
    : writer_(std::make_shared<Writer>(fd, std::move(wall))),
      thread_([writer = writer_] { writer->Run(); }) {}

DecisionLog::~DecisionLog() {
  const bool flushed = writer_->Flush();
  writer_->Stop();
  if (flushed) {
    thread_.join();
  } else {
    thread_.detach();
  }
}

void DecisionLog::Write(const LogLine& line) {
  writer_->Add(line);
}

bool DecisionLog::Flush() {
  return writer_->Flush();
}

int64_t DecisionLog::dropped() const {
  return writer_->dropped();
}

}  // namespace bergamotscale::gateway

#include "src/gateway/decision_log.h"

#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <mutex>
#include <utility>

namespace bergamotscale::gateway {
namespace {

// Limit of buffered lines, enough for a few seconds of a busy instance.
constexpr size_t kMaxPendingBytes = size_t{256} << 10;
// The buffer is flushed beyond this size, to keep it small.
constexpr size_t kFlushBytes = size_t{16} << 10;

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

struct DecisionLog::Impl {
  Impl(int fd, Clock wall) : fd_(fd), wall_(std::move(wall)) {
    const int flags = fcntl(fd, F_GETFL, 0);
    if (flags >= 0) {
      fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
  }

  void Append(const std::string& text) {
    pending_ += "t=" + std::to_string(wall_.Now().count()) + " " + text + "\n";
  }

  // Precondition: the mutex is held.
  void FlushLocked() {
    size_t done = 0;
    while (done < pending_.size()) {
      const size_t size =
          WholeLinesSize(std::string_view(pending_).substr(done));
      const ssize_t written = write(fd_, pending_.data() + done, size);
      if (written <= 0) {
        break;
      }
      done += static_cast<size_t>(written);
    }
    pending_.erase(0, done);
    if (pending_.empty() && unreported_ > 0) {
      Append(LogLine("log_lines_dropped").Add("lines", unreported_).text());
      unreported_ = 0;
    }
  }

  const int fd_;
  const Clock wall_;
  mutable std::mutex mutex_;
  std::string pending_;
  int64_t dropped_ = 0;
  int64_t unreported_ = 0;  // dropped lines that are not logged yet
};

DecisionLog::DecisionLog(int fd, Clock wall)
    : impl_(std::make_unique<Impl>(fd, std::move(wall))) {}

DecisionLog::~DecisionLog() {
  Flush();
}

void DecisionLog::Write(const LogLine& line) {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  if (impl_->pending_.size() + line.text().size() > kMaxPendingBytes) {
    ++impl_->dropped_;
    ++impl_->unreported_;
    return;
  }
  impl_->Append(line.text());
  if (impl_->pending_.size() > kFlushBytes) {
    impl_->FlushLocked();
  }
}

void DecisionLog::Flush() {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  impl_->FlushLocked();
}

int64_t DecisionLog::dropped() const {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  return impl_->dropped_;
}

}  // namespace bergamotscale::gateway

#include "tests/support/gateway_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace bergamotscale::tests {
namespace {

constexpr Millis kHeartbeat = Millis(1'200);
constexpr size_t kMaxReadBytes = size_t{1'024} << 10;
constexpr char kServersTopic[] = "keyed.servers";
constexpr char kKeyedPrefix[] = "keyed.";
constexpr size_t kLengthSize = 4;

sockaddr_in ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  parsed.sin_port = htons(
      static_cast<uint16_t>(std::strtol(&address[colon + 1], nullptr, 10)));
  return parsed;
}

timeval ToTimeval(Millis time) {
  timeval value{};
  value.tv_sec = time.count() / 1'000;
  value.tv_usec = time.count() % 1'000 * 1'000;
  return value;
}

// @return a bound TCP socket, or -1.
int BindSocket(const std::string& ip, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ParseAddress(ip + ":" + std::to_string(port));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

uint16_t FindFreePort(const std::string& ip) {
  const int fd = BindSocket(ip, 0);
  const uint16_t port = PortOf(fd);
  close(fd);
  return port;
}

std::string ReadWholeFile(const std::string& name) {
  std::ifstream file(name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Quote(const std::string& text) {
  return "\"" + text + "\"";
}

std::string QueryValue(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t next = target.find('&', at + 1);
    const std::string item = target.substr(at + 1, next - at - 1);
    if (item.compare(0, name.size() + 1, name + "=") == 0) {
      return item.substr(name.size() + 1);
    }
    at = next;
  }
  return "";
}

int64_t ParseNumber(const std::string& text, int64_t fallback) {
  return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
}

uint64_t ReadBigEndian(const std::string& bytes, size_t size) {
  uint64_t number = 0;
  for (size_t i = 0; i < size && i < bytes.size(); ++i) {
    number = (number << 8) | static_cast<unsigned char>(bytes[i]);
  }
  return number;
}

bool IsKeyed(const std::string& topic) {
  return topic.rfind(kKeyedPrefix, 0) == 0;
}

std::string BigEndian(uint64_t number, int size) {
  std::string bytes;
  for (int i = size - 1; i >= 0; --i) {
    bytes += static_cast<char>((number >> (8 * i)) & 0xff);
  }
  return bytes;
}

std::string EncodeBase64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      const size_t at = i + j;
      group = (group << 8) |
              (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool padded = i + j > bytes.size();
      text += padded ? '=' : kDigits[(group >> (18 - 6 * j)) & 63];
    }
  }
  return text;
}

std::string MakeChunk(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

Millis SteadyNow() {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())
                    .count());
}

void SleepFor(Millis time) {
  if (time > Millis(0)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
  }
}

std::string LoopbackIp(int number) {
  const int pid = getpid();
  return "127." + std::to_string(30 + pid / 250 % 200) + "." +
         std::to_string(1 + pid % 250) + "." + std::to_string(number);
}

Wire::~Wire() {
  close(fd_);
}

std::unique_ptr<Wire> Wire::Open(const std::string& address) {
  return Open(address, Millis(0));
}

std::unique_ptr<Wire> Wire::Open(const std::string& address, Millis timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit = ToTimeval(timeout);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in parsed = ParseAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&parsed), sizeof(parsed)) !=
      0) {
    close(fd);
    return nullptr;
  }
  const timeval unlimited{};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &unlimited, sizeof(unlimited));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Wire>(fd);
}

AddressHolder::AddressHolder(const std::string& address, int type)
    : fd_(socket(AF_INET, type | SOCK_CLOEXEC, 0)) {
  // Connections of an earlier gateway may remain.
  const int reuse = type == SOCK_STREAM ? 1 : 0;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  const sockaddr_in parsed = ParseAddress(address);
  is_held_ = bind(fd_, reinterpret_cast<const sockaddr*>(&parsed),
                  sizeof(parsed)) == 0 &&
             (type == SOCK_DGRAM || listen(fd_, 1) == 0);
}

AddressHolder::~AddressHolder() {
  close(fd_);
}

bool Wire::Write(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Wire::Fill() {
  char bytes[16'384];
  ssize_t count = 0;
  do {
    count = recv(fd_, bytes, sizeof(bytes), 0);
  } while (count < 0 && errno == EINTR);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<size_t>(count));
  return true;
}

bool Wire::ReadLine(std::string* line) {
  size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Wire::ReadExactly(size_t size, std::string* bytes) {
  while (buffer_.size() < size) {
    if (!Fill()) {
      return false;
    }
  }
  *bytes = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool Wire::ReadHead(std::string* head) {
  head->clear();
  std::string line;
  do {
    if (!ReadLine(&line)) {
      return false;
    }
    *head += line + "\r\n";
  } while (!line.empty());
  return true;
}

bool Wire::ReadChunks(std::string* body) {
  std::string line;
  while (ReadLine(&line)) {
    const size_t size = std::strtoul(line.c_str(), nullptr, 16);
    std::string part;
    if (!ReadExactly(size, &part) || !ReadLine(&line)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
    *body += part;
  }
  return false;
}

bool Wire::PeerHasClosed() const {
  char byte = 0;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Wire::SetReadTimeout(Millis timeout) {
  const timeval value = ToTimeval(timeout);
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

void Wire::ShutdownSending() {
  shutdown(fd_, SHUT_WR);
}

void Wire::Shutdown(bool reset) {
  if (reset) {
    const linger option{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  }
  shutdown(fd_, SHUT_RDWR);
}

std::string HeaderOf(const std::string& head, const std::string& name) {
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    const bool equal =
        colon == name.size() &&
        std::equal(name.begin(), name.end(), line.begin(), [](char a, char b) {
          return std::tolower(static_cast<unsigned char>(a)) ==
                 std::tolower(static_cast<unsigned char>(b));
        });
    if (equal) {
      const size_t begin = line.find_first_not_of(' ', colon + 1);
      const size_t end = line.find_last_not_of("\r ");
      return begin == std::string::npos || begin > end
                 ? ""
                 : line.substr(begin, end - begin + 1);
    }
  }
  return "";
}

WireListener::WireListener(const std::string& ip, uint16_t port, Serve serve)
    : serve_(std::move(serve)), fd_(BindSocket(ip, port)) {
  listen(fd_, 1'024);
  port_ = PortOf(fd_);
  acceptor_ = std::thread([this] { Accept(); });
}

WireListener::~WireListener() {
  stopping_ = true;
  acceptor_.join();
  close(fd_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& wire : wires_) {
      wire->Shutdown(true);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void WireListener::ResetConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& wire : wires_) {
    wire->Shutdown(true);
  }
}

void WireListener::Accept() {
  constexpr int kPollMs = 20;
  while (!stopping_) {
    pollfd readable{fd_, POLLIN, 0};
    if (poll(&readable, 1, kPollMs) <= 0) {
      continue;
    }
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(mutex_);
    wires_.push_back(std::make_unique<Wire>(fd));
    const auto wire = std::prev(wires_.end());
    threads_.emplace_back([this, wire] {
      serve_(**wire);
      const std::lock_guard<std::mutex> closing(mutex_);
      wires_.erase(wire);
    });
  }
}

StoreStandIn::StoreStandIn(const std::string& ip)
    : ip_(ip),
      listener_(
          std::make_unique<WireListener>(ip, uint16_t{0}, [this](Wire& wire) {
            Serve(wire);
          })) {}

StoreStandIn::~StoreStandIn() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  listener_.reset();
}

std::string StoreStandIn::address() const {
  return ip_ + ":" + std::to_string(listener_->port());
}

void StoreStandIn::Put(const std::string& topic,
                       const std::string& key,
                       const std::string& value) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    topics_[topic].push_back({key, value});
  }
  changed_.notify_all();
}

void StoreStandIn::SetMode(Mode mode) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    mode_ = mode;
  }
  changed_.notify_all();
  if (mode == Mode::kResetting) {
    listener_->ResetConnections();
  }
}

void StoreStandIn::Serve(Wire& wire) {
  std::string head;
  while (wire.ReadHead(&head)) {
    const size_t begin = head.find(' ') + 1;
    const std::string target = head.substr(begin, head.find(" HTTP/") - begin);
    std::string body;
    const auto length =
        static_cast<size_t>(ParseNumber(HeaderOf(head, "Content-Length"), 0));
    if (!wire.ReadExactly(length, &body)) {
      return;
    }
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock,
                    [this] { return mode_ != Mode::kSilent || stopping_; });
      if (mode_ == Mode::kResetting || stopping_) {
        wire.Shutdown(true);
        return;
      }
    }
    const std::string topic = QueryValue(target, "topic");
    const std::string response =
        target.rfind("/log-append", 0) == 0 ? Append(target, body)
        : target.rfind("/log-newest", 0) == 0
            ? Newest(topic)
            : Read(topic,
                   static_cast<size_t>(
                       ParseNumber(QueryValue(target, "from"), 0)),
                   Millis(ParseNumber(QueryValue(target, "wait_ms"), 0)));
    if (!wire.Write(response)) {
      return;
    }
  }
}

std::string StoreStandIn::Append(const std::string& target,
                                 const std::string& body) {
  const std::string topic = QueryValue(target, "topic");
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Entry>& entries = topics_[topic];
  if (!serves_appends_) {
    return Respond("503 Unavailable", "");
  }
  const std::string at = QueryValue(target, "at");
  if (!at.empty() && at != std::to_string(entries.size())) {
    return Respond("412 Changed",
                   "{\"end\":" + std::to_string(entries.size()) + "}");
  }
  const size_t offset = entries.size();
  std::string rest = body;
  while (rest.size() >= kLengthSize) {
    const size_t size = ReadBigEndian(rest, kLengthSize);
    const std::string content = rest.substr(kLengthSize, size);
    rest.erase(0, kLengthSize + size);
    const size_t key =
        IsKeyed(topic) ? ReadBigEndian(content, 1) + 1 : size_t{0};
    entries.push_back(
        {key == 0 ? "" : content.substr(1, key - 1), content.substr(key)});
  }
  changed_.notify_all();
  return Respond("200 OK", "{\"offset\":" + std::to_string(offset) +
                               ",\"end\":" + std::to_string(entries.size()) +
                               "}");
}

size_t StoreStandIn::Count(const std::string& topic) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return topics_[topic].size();
}

void StoreStandIn::TakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = topics_;
}

void StoreStandIn::RestoreCopy() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    topics_ = copy_;
    ++era_;
  }
  changed_.notify_all();
}

std::string StoreStandIn::Respond(const std::string& status,
                                  const std::string& body) const {
  return "HTTP/1.1 " + status + "\r\nStore-Era: " + std::to_string(era_) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string StoreStandIn::Newest(const std::string& topic) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::vector<Entry>& entries = topics_[topic];
  std::map<std::string, size_t> newest;
  for (size_t i = 0; i < entries.size(); ++i) {
    newest[entries[i].key_] = i;
  }
  std::string items;
  for (const auto& [key, index] : newest) {
    if (!entries[index].value_.empty()) {
      items += (items.empty() ? "" : ",") + std::string("{\"key\":") +
               Quote(key) +
               ",\"value\":" + Quote(EncodeBase64(entries[index].value_)) +
               ",\"offset\":" + std::to_string(index) + "}";
    }
  }
  return Respond("200 OK", "{\"items\":[" + items +
                               "],\"has_more\":false,\"end\":" +
                               std::to_string(entries.size()) + "}");
}

std::string StoreStandIn::Read(const std::string& topic,
                               size_t from,
                               Millis wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  const int era = era_;
  changed_.wait_for(lock, std::chrono::milliseconds(wait.count()), [&] {
    return topics_[topic].size() != from || era_ != era ||
           mode_ != Mode::kServing || stopping_;
  });
  const std::vector<Entry>& entries = topics_[topic];
  if (from > entries.size()) {
    return Respond("410 Gone", "{\"first\":0}");
  }
  std::string body = BigEndian(entries.size(), 8) + BigEndian(0, 8);
  for (size_t i = from; i < entries.size(); ++i) {
    const Entry& entry = entries[i];
    const std::string content =
        IsKeyed(topic)
            ? BigEndian(entry.key_.size(), 1) + entry.key_ + entry.value_
            : entry.value_;
    if (body.size() + content.size() > kMaxReadBytes) {
      break;
    }
    body += BigEndian(content.size(), 4) + content;
  }
  return Respond("200 OK", body);
}

int64_t ServerCall::Number(const std::string& name, int64_t fallback) const {
  return ParseNumber(HeaderOf(head_, name), fallback);
}

std::string AnswerHead(const ServerCall& call,
                       const std::string& status,
                       const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\nX-Bergamotscale-Request-Id: " + call.id_ +
         "\r\nX-Bergamotscale-Response-Seal: seal\r\n"
         "Keep-Alive: timeout=15\r\n" +
         call.answer_headers_ + headers + "\r\n";
}

bool AnswerWhole(const ServerCall& call, Wire& wire) {
  SleepFor(Millis(call.Number("X-Work-Ms", 20)));
  std::string body = call.id_;
  body.resize(std::max<size_t>(body.size(), static_cast<size_t>(call.Number(
                                                "X-Answer-Bytes", 0))),
              'x');
  const bool head_only = call.head_.rfind("HEAD ", 0) == 0;
  return wire.Write(
      AnswerHead(call, "200 OK",
                 "Content-Length: " + std::to_string(body.size()) + "\r\n") +
      (head_only ? "" : body));
}

bool AnswerEvents(const ServerCall& call, Wire& wire) {
  const int64_t last = call.Number("X-Events", 5);
  const Millis pace = Millis(call.Number("X-Pace-Ms", 20));
  Millis began = SteadyNow();
  const int64_t first = call.Number("Last-Event-Id", 0) + 1;
  const int64_t pauses_at = call.Number("X-Pause-At", 0);
  const Millis pause = Millis(call.Number("X-Pause-Ms", 0));
  std::string data = HeaderOf(call.head_, "X-Names-Version").empty()
                         ? call.id_
                         : call.version_;
  data.resize(std::max(data.size(),
                       static_cast<size_t>(call.Number("X-Event-Bytes", 0))),
              'x');
  if (!wire.Write(AnswerHead(call, "200 OK",
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n"))) {
    return false;
  }
  for (int64_t i = first; i <= last; ++i) {
    if (i == pauses_at && first == 1) {
      began = began + pause;
    }
    SleepFor(began + pace * (i - first) - SteadyNow());
    if (wire.PeerHasClosed() ||
        !wire.Write(MakeChunk("id: " + std::to_string(i) + "\ndata: " + data +
                              "\n\n"))) {
      return false;
    }
  }
  return wire.Write("0\r\n\r\n");
}

bool AnswerEndless(const ServerCall& call, Wire& wire) {
  const bool one_event = HeaderOf(call.head_, "X-Endless") == "event";
  std::string bytes = AnswerHead(
      call, "200 OK", one_event ? "Content-Type: text/event-stream\r\n" : "");
  if (one_event) {
    bytes += "id: 1\ndata: ";
  }
  const std::string more(size_t{64} << 10, 'x');
  while (wire.Write(bytes)) {
    bytes = more;
  }
  return false;
}

bool AnswerAsAsked(const ServerCall& call, Wire& wire) {
  if (!HeaderOf(call.head_, "X-Endless").empty()) {
    return AnswerEndless(call, wire);
  }
  return HeaderOf(call.head_, "X-Events").empty() ? AnswerWhole(call, wire)
                                                  : AnswerEvents(call, wire);
}

ServerStandIn::ServerStandIn(StoreStandIn& store,
                             std::string id,
                             std::string service,
                             const std::string& ip)
    : ServerStandIn(store,
                    std::move(id),
                    std::move(service),
                    ip,
                    [](const ServerCall& call, Wire& wire, bool* /*did_run*/) {
                      return AnswerAsAsked(call, wire);
                    }) {}

ServerStandIn::ServerStandIn(StoreStandIn& store,
                             std::string id,
                             std::string service,
                             const std::string& ip,
                             Run run)
    : store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      ip_(ip),
      run_(std::move(run)) {
  Restart();
  heartbeats_ = std::thread([this] { SendHeartbeats(); });
}

ServerStandIn::~ServerStandIn() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  heartbeats_.join();
  listener_.reset();
}

void ServerStandIn::Serve(Wire& wire) {
  ServerCall call;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    call.version_ = version_;
  }
  while (wire.ReadHead(&call.head_)) {
    call.body_.clear();
    const int64_t length = call.Number("Content-Length", 0);
    if (!wire.ReadExactly(static_cast<size_t>(length), &call.body_)) {
      return;
    }
    call.id_ = HeaderOf(call.head_, "X-Bergamotscale-Request-Id");
    const std::string expected =
        HeaderOf(call.head_, "X-Bergamotscale-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      if (!wire.Write("HTTP/1.1 421 Other\r\nX-Bergamotscale-Request-Id: " +
                      call.id_ + "\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++runs_[call.id_];
    }
    bool did_run = true;
    const bool keep = run_(call, wire, &did_run);
    if (!did_run) {
      const std::lock_guard<std::mutex> lock(mutex_);
      --runs_[call.id_];
    }
    if (!keep) {
      return;
    }
  }
}

void ServerStandIn::WriteEntry() {
  const std::string state = draining_ ? "draining" : "ready";
  store_.Put(kServersTopic, id_,
             "{\"service\":" + Quote(service_) +
                 ",\"address\":" + Quote(ip_ + ":" + std::to_string(port_)) +
                 ",\"zone\":\"z1\",\"version\":" + Quote(version_) +
                 ",\"slots\":128,\"state\":" + Quote(state) +
                 ",\"cold_left_ms\":0,\"seq\":" + std::to_string(++seq_) +
                 ",\"born\":" + std::to_string(born_) + "}");
}

void ServerStandIn::SendHeartbeats() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (!silent_) {
      WriteEntry();
    }
    stopped_.wait_for(lock, std::chrono::milliseconds(kHeartbeat.count()),
                      [this] { return stopping_; });
  }
}

void ServerStandIn::SetVersion(const std::string& version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  version_ = version;
}

void ServerStandIn::SetDraining() {
  const std::lock_guard<std::mutex> lock(mutex_);
  draining_ = true;
  WriteEntry();
}

void ServerStandIn::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  silent_ = true;
  store_.Put(kServersTopic, id_, "");
}

void ServerStandIn::ResetConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (listener_ != nullptr) {
    listener_->ResetConnections();
  }
}

void ServerStandIn::Crash() {
  std::unique_ptr<WireListener> listener;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    silent_ = true;
    listener = std::move(listener_);
  }
}

void ServerStandIn::Restart() {
  Crash();
  auto listener = std::make_unique<WireListener>(
      ip_, port_, [this](Wire& wire) { Serve(wire); });
  const std::lock_guard<std::mutex> lock(mutex_);
  listener_ = std::move(listener);
  port_ = listener_->port();
  born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  seq_ = 0;
  draining_ = false;
  silent_ = false;
  WriteEntry();
}

int ServerStandIn::RunsOf(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = runs_.find(id);
  return found == runs_.end() ? 0 : found->second;
}

int ServerStandIn::runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  int sum = 0;
  for (const auto& [id, count] : runs_) {
    sum += count;
  }
  return sum;
}

namespace {

bool IsList(const std::string& json) {
  return !json.empty() && json.front() == '[';
}

// @return the strings of a list, joined by commas.
std::string JoinList(std::string list) {
  list = list.substr(1, list.size() - 2);
  list.erase(std::remove(list.begin(), list.end(), '"'), list.end());
  return list;
}

}  // namespace

std::string FillTemplate(const std::string& text,
                         const TemplateFields& fields) {
  std::string out;
  size_t at = 0;
  for (size_t open = text.find("{{"); open != std::string::npos;
       open = text.find("{{", at)) {
    out += text.substr(at, open - at);
    const size_t close = text.find("}}", open);
    std::string name = text.substr(open + 2, close - open - 2);
    at = close + 2;
    if (name.front() == '#') {
      name.erase(0, 1);
      const std::string end = "{{/" + name + "}}";
      const size_t until = text.find(end, at);
      const auto field = fields.find(name);
      // A section is repeated for each entry of a list.
      int64_t times = field == fields.end() ? 0 : 1;
      if (times > 0 && IsList(field->second)) {
        times += std::count(field->second.begin(), field->second.end(), ',');
      }
      for (; times > 0; --times) {
        out += FillTemplate(text.substr(at, until - at), fields);
      }
      at = until + end.size();
      continue;
    }
    const size_t bar = name.find('|');
    const bool as_json = bar != std::string::npos;
    const auto found = fields.find(name.substr(0, bar));
    std::string value = found == fields.end() ? "" : found->second;
    if (!as_json && IsList(value)) {
      value = JoinList(value);
    } else if (!as_json && value.size() > 1 && value.front() == '"') {
      value = value.substr(1, value.size() - 2);
    }
    out += value.empty() && as_json ? "null" : value;
  }
  return out + text.substr(at);
}

TemplateFields MakeBounds() {
  return {
      {"limits.link_mbps", "1000.0"},     {"limits.max_fds", "4100"},
      {"limits.memory_mb", "260"},        {"bounds.revoke_ms", "5000"},
      {"bounds.config_apply_ms", "2000"}, {"bounds.drain_ms", "2000"},
      {"bounds.grace_s", "8.0"},          {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_window_s", "10"},   {"bounds.budget_extra", "54"}};
}

GatewayProcess::GatewayProcess(std::string folder,
                               const std::string& ip,
                               const std::string& store,
                               TemplateFields fields)
    : fields_(std::move(fields)),
      callers_(ip + ":" + std::to_string(FindFreePort(ip))),
      ready_(ip + ":" + std::to_string(FindFreePort(ip))),
      operators_(ip + ":9464"),
      peers_(ip + ":7340"),
      settings_file_(folder + "/" + ip + ".conf"),
      log_file_(folder + "/" + ip + ".log") {
  const TemplateFields defaults = {
      {"node_name", Quote("front-" + ip)},
      {"zone", Quote("z1")},
      {"ip", Quote(ip)},
      {"listen.front", Quote(callers_)},
      {"listen.ready", Quote(ready_)},
      {"port_range.0", "7340"},
      {"seeds", "[" + Quote(ip + ":8229") + "]"},
      {"platform.address", Quote(store)},
  };
  fields_.insert(defaults.begin(), defaults.end());
  const TemplateFields bounds = MakeBounds();
  fields_.insert(bounds.begin(), bounds.end());
}

GatewayProcess::~GatewayProcess() {
  if (!HasEnded()) {
    Signal(SIGKILL);
    AwaitEnd(Millis(10'000));
  }
}

void GatewayProcess::SetField(const std::string& name,
                              const std::string& value) {
  fields_[name] = value;
}

void GatewayProcess::RemoveField(const std::string& name) {
  fields_.erase(name);
}

std::string GatewayProcess::SettingsText() const {
  return FillTemplate(ReadWholeFile(std::string(BERGAMOTSCALE_DEPLOY_DIR) +
                                    "/gateway_settings.json"),
                      fields_);
}

void GatewayProcess::WriteSettings() {
  // The platform replaces the file at once.
  std::ofstream(settings_file_ + ".new") << SettingsText();
  std::rename((settings_file_ + ".new").c_str(), settings_file_.c_str());
}

void GatewayProcess::ReplaceSettingsByFifo() {
  std::remove(settings_file_.c_str());
  has_fifo_ = mkfifo(settings_file_.c_str(), 0600) == 0;
}

int GatewayProcess::OpenSettingsFifo() const {
  return open(settings_file_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
}

void GatewayProcess::WriteSettings(int fifo) {
  const std::string text = SettingsText();
  // The process may read the path again soon.
  WriteSettings();
  has_fifo_ = false;
  const ssize_t written = write(fifo, text.data(), text.size());
  if (written != static_cast<ssize_t>(text.size())) {
    std::perror("write the settings");
  }
}

void GatewayProcess::Start() {
  if (!has_fifo_) {
    WriteSettings();
  }
  const std::string program =
      std::string(BERGAMOTSCALE_BIN_DIR) + "/bergamot_gateway";
  const std::string variable = "BERGAMOTSCALE_NODE_FILE=" + settings_file_;
  const std::string preload = "LD_PRELOAD=" + preload_;
  pid_ = fork();
  if (pid_ == 0) {
    if (max_descriptors_ > 0) {
      const rlimit limit{max_descriptors_, max_descriptors_};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    const int out = open(log_file_.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
    char* environment[] = {const_cast<char*>(variable.c_str()),
                           const_cast<char*>(preload.c_str()), nullptr};
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
}

bool GatewayProcess::IsReady() const {
  const auto probe = Wire::Open(ready_);
  std::string head;
  if (probe == nullptr) {
    return false;
  }
  probe->SetReadTimeout(Millis(1'000));
  return probe->Write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n") &&
         probe->ReadHead(&head) && head.rfind("HTTP/1.1 200", 0) == 0;
}

bool GatewayProcess::AwaitReady(Millis timeout) {
  const Millis until = SteadyNow() + timeout;
  while (SteadyNow() < until && !HasEnded()) {
    if (IsReady()) {
      return true;
    }
    SleepFor(Millis(20));
  }
  return false;
}

void GatewayProcess::Signal(int signal) {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool GatewayProcess::HasEnded() {
  if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ < 0;
}

bool GatewayProcess::AwaitEnd(Millis timeout) {
  const Millis until = SteadyNow() + timeout;
  while (!HasEnded() && SteadyNow() < until) {
    SleepFor(Millis(5));
  }
  const bool by_itself = HasEnded();
  Signal(SIGKILL);
  while (!HasEnded()) {
    SleepFor(Millis(5));
  }
  return by_itself;
}

Bytes GatewayProcess::PeakMemory() const {
  std::istringstream lines(
      ReadWholeFile("/proc/" + std::to_string(pid_) + "/status"));
  std::string line;
  while (std::getline(lines, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return Bytes(std::strtoll(line.c_str() + 6, nullptr, 10) << 10);
    }
  }
  return Bytes(0);
}

int GatewayProcess::CountDescriptorsOfLog() const {
  int count = 0;
  const std::filesystem::path folder("/proc/" + std::to_string(pid_) + "/fd");
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::error_code gone;
    count += std::filesystem::equivalent(entry.path(), log_file_, gone) ? 1 : 0;
  }
  return count;
}

std::string GatewayProcess::Metrics() const {
  const auto wire = Wire::Open(operators_);
  std::string head;
  std::string body;
  if (wire == nullptr ||
      !wire->Write("GET /metrics HTTP/1.1\r\nHost: o\r\n\r\n") ||
      !wire->ReadHead(&head)) {
    return "";
  }
  const auto length = ParseNumber(HeaderOf(head, "Content-Length"), 0);
  wire->ReadExactly(static_cast<size_t>(length), &body);
  return body;
}

bool GatewayProcess::AwaitMetrics(Millis timeout) const {
  const Millis until = SteadyNow() + timeout;
  while (Metrics().empty()) {
    if (SteadyNow() >= until) {
      return false;
    }
    SleepFor(Millis(20));
  }
  return true;
}

std::string CallerRequest::Head() const {
  return method_ + " " + path_ +
         " HTTP/1.1\r\nHost: h.example\r\nX-Bergamotscale-Request-Id: " + id_ +
         "\r\nX-Bergamotscale-Deadline-Ms: " +
         std::to_string(patience_.count()) +
         "\r\nX-Bergamotscale-Key: " + key_ + "\r\n" + headers_ +
         (method_ == "POST"
              ? "Content-Length: " + std::to_string(body_.size()) + "\r\n"
              : "") +
         "\r\n";
}

CallerRequest MakeOrder(const std::string& id, int work_ms) {
  CallerRequest order;
  order.path_ = "/order/1";
  order.id_ = id;
  order.headers_ = "X-Work-Ms: " + std::to_string(work_ms) + "\r\n";
  order.body_ = std::string(600, 'o');
  return order;
}

CallerRequest MakeStream(const std::string& id, int events) {
  CallerRequest stream;
  stream.path_ = "/stream/1";
  stream.id_ = id;
  stream.patience_ = Millis(10'000);
  stream.headers_ = "X-Events: " + std::to_string(events) +
                    "\r\nX-Pace-Ms: 74\r\n"
                    "X-Bergamotscale-Token-Counts: 1460,600\r\n"
                    "X-Bergamotscale-Prefix-Hash: 5c1e07a2:350," +
                    id + ":1110\r\n";
  stream.body_ = std::string(1'500, 's');
  return stream;
}

CallerAnswer ReadAnswer(Wire& wire,
                        const CallerRequest& request,
                        Millis last_write_began) {
  CallerAnswer answer;
  answer.last_write_began_ = last_write_began;
  answer.is_sent_ = true;
  answer.sent_at_ = SteadyNow();
  wire.SetReadTimeout(request.patience_ + Millis(1'000));
  do {
    if (!wire.ReadHead(&answer.head_)) {
      answer.ended_at_ = SteadyNow();
      return answer;
    }
    answer.status_ =
        static_cast<int>(std::strtol(answer.head_.c_str() + 9, nullptr, 10));
  } while (answer.status_ == 100);
  answer.closes_ = HeaderOf(answer.head_, "Connection") == "close";
  if (HeaderOf(answer.head_, "Transfer-Encoding") == "chunked") {
    answer.is_whole_ = wire.ReadChunks(&answer.body_);
  } else {
    const int64_t length =
        ParseNumber(HeaderOf(answer.head_, "Content-Length"), 0);
    answer.is_whole_ =
        request.method_ == "HEAD" ||
        wire.ReadExactly(static_cast<size_t>(length), &answer.body_);
  }
  answer.ended_at_ = SteadyNow();
  return answer;
}

CallerAnswer Exchange(Wire& wire,
                      const CallerRequest& request,
                      const std::function<void()>& before_reading) {
  const Millis began = SteadyNow();
  if (!wire.Write(request.Head() + request.body_)) {
    CallerAnswer answer;
    answer.last_write_began_ = began;
    answer.sent_at_ = answer.ended_at_ = SteadyNow();
    return answer;
  }
  if (before_reading) {
    before_reading();
  }
  return ReadAnswer(wire, request, began);
}

std::string MakeConfig(int64_t version, Millis idle_timeout) {
  const auto route = [](const std::string& name, const std::string& kind,
                        int timeout_ms, int target_ms, int priority,
                        const std::string& service, int attempts) {
    return "{\"name\":" + Quote(name) +
           ",\"host\":\"h.example\",\"path_prefix\":" +
           Quote("/" + name + "/") + ",\"kind\":" + Quote(kind) +
           ",\"timeout_ms\":" + std::to_string(timeout_ms) +
           ",\"target_latency_ms\":" + std::to_string(target_ms) +
           ",\"priority\":" + std::to_string(priority) +
           ",\"service\":" + Quote(service) +
           ",\"max_attempts\":" + std::to_string(attempts) +
           ",\"public\":false,\"gap_aim_ms\":150,\"resumable\":" +
           (name == "resume" ? "true" : "false") + "}";
  };
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         route("stream", "streaming", 10'000, 250, 0, "llm", 1) + "," +
         route("resume", "streaming", 8'000, 1'000, 2, "llm", 3) + "," +
         route("order", "unsafe", 1'500, 300, 1, "app", 1) + "," +
         route("read", "safe", 1'500, 300, 1, "app", 3) +
         "],\"services\":["
         "{\"name\":\"llm\",\"max_conns\":620,\"engine\":{\"slots\":128,"
         "\"kv_capacity\":1150253}},"
         "{\"name\":\"app\",\"max_conns\":100}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":" +
         std::to_string(idle_timeout.count()) +
         "},"
         "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],"
         "\"priority\":1}]}";
}

bool SmallSystem::Start(Millis settle_time) {
  constexpr Millis kReadyTimeout = Millis(10'000);
  store_.Put("keyed.op", "config", MakeConfig(1));
  gateway_.Start();
  const bool is_ready = gateway_.AwaitReady(kReadyTimeout);
  SleepFor(settle_time);
  return is_ready;
}

}  // namespace bergamotscale::tests

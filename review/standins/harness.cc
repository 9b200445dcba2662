#include "review/standins/harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>
#include <sstream>

namespace review {
namespace {

const auto kStart = std::chrono::steady_clock::now();
std::mutex record_mutex;

std::ofstream& RecordFile() {
  const char* path = std::getenv("REVIEW_RECORD");
  static std::ofstream file(path == nullptr ? "record.txt" : path,
                            std::ios::trunc);
  return file;
}

// Folders to remove and processes to end with the program.
std::vector<std::string> folders;
std::vector<pid_t> processes;

void CleanUp() {
  for (const pid_t pid : processes) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  for (const std::string& folder : folders) {
    unlink((folder + "/settings").c_str());
    unlink((folder + "/gateway.log").c_str());
    rmdir(folder.c_str());
  }
}

[[noreturn]] void End(int code) {
  {
    const std::lock_guard<std::mutex> lock(record_mutex);
    RecordFile().flush();
  }
  CleanUp();
  _exit(code);
}

sockaddr_in Parse(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  result.sin_port = htons(
      static_cast<uint16_t>(std::strtol(&address[colon + 1], nullptr, 10)));
  return result;
}

int FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Parse(ip + ":0");
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    CannotRun("no address " + ip);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::multimap<std::string, std::string> ParseHeaders(const std::string& head) {
  std::multimap<std::string, std::string> headers;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
      value.pop_back();
    }
    value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
    headers.emplace(Lower(line.substr(0, colon)), value);
  }
  return headers;
}

std::string HeaderOf(const std::multimap<std::string, std::string>& headers,
                     const std::string& name) {
  const auto found = headers.find(Lower(name));
  return found == headers.end() ? "" : found->second;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t next = target.find('&', at + 1);
    const std::string item =
        target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    if (item.compare(0, name.size() + 1, name + "=") == 0) {
      return item.substr(name.size() + 1);
    }
    at = next;
  }
  return "";
}

std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = (group << 8) |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool padded = i + j > bytes.size();
      text += padded ? '=' : kDigits[(group >> (18 - 6 * j)) & 63];
    }
  }
  return text;
}

std::string BigEndian(uint64_t number, int size) {
  std::string bytes;
  for (int i = size - 1; i >= 0; --i) {
    bytes += static_cast<char>((number >> (8 * i)) & 255);
  }
  return bytes;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    CannotRun("no file " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Fills in a template of the deploy file: values and sections, as far as the
// project's template uses them.
std::string Render(const std::string& text,
                   const std::map<std::string, std::string>& fields) {
  std::string out;
  size_t at = 0;
  for (size_t open = text.find("{{"); open != std::string::npos;
       open = text.find("{{", at)) {
    out += text.substr(at, open - at);
    const size_t close = text.find("}}", open);
    std::string name = text.substr(open + 2, close - open - 2);
    at = close + 2;
    if (name[0] == '#') {
      name.erase(0, 1);
      const std::string end = "{{/" + name + "}}";
      const size_t until = text.find(end, at);
      if (fields.count(name) > 0) {
        out += Render(text.substr(at, until - at), fields);
      }
      at = until + end.size();
      continue;
    }
    const size_t bar = name.find('|');
    const bool as_json = bar != std::string::npos;
    name = name.substr(0, bar);
    const auto found = fields.find(name);
    std::string value = found == fields.end() ? "" : found->second;
    if (!as_json && value.size() > 1 && value.front() == '"') {
      value = value.substr(1, value.size() - 2);
    }
    out += value.empty() && as_json ? "null" : value;
  }
  return out + text.substr(at);
}

std::string Quote(const std::string& text) {
  return "\"" + text + "\"";
}

// @return the words of a role's `run` in the deploy file.
std::vector<std::string> DeployCommand() {
  const std::string text = ReadFile("deploy/system.toml");
  const size_t role = text.find("[roles.gateway]");
  const size_t run = text.find("run = \"", role);
  if (role == std::string::npos || run == std::string::npos) {
    CannotRun("the deploy file has no role gateway");
  }
  const size_t begin = run + std::strlen("run = \"");
  std::istringstream command(text.substr(begin, text.find('"', begin) - begin));
  std::vector<std::string> words;
  for (std::string word; command >> word;) {
    words.push_back(word);
  }
  return words;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepUntil(int64_t at_ms) {
  std::this_thread::sleep_until(kStart + std::chrono::milliseconds(at_ms));
}

void SleepFor(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ",
                static_cast<double>(NowMs()) / 1000);
  RecordFile() << time << line << "\n";
  std::printf("%s%s\n", time, line.c_str());
  std::fflush(stdout);
}

void CannotRun(const std::string& why) {
  Record("the case could not run: " + why);
  End(2);
}

void Finish(bool broken) {
  Record(broken ? "the rule was BROKEN" : "the rule held");
  End(broken ? 1 : 0);
}

bool WithTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

std::string OwnAddress(int number) {
  const int pid = getpid();
  return "127." + std::to_string(1 + (pid / 250) % 250) + "." +
         std::to_string(1 + pid % 250) + "." + std::to_string(number);
}

std::unique_ptr<Connection> Connection::Open(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in peer = Parse(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) !=
      0) {
    close(fd);
    return nullptr;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(fd);
}

bool Connection::Write(const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t written =
        send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    done += static_cast<size_t>(written);
  }
  return true;
}

bool Connection::Fill() {
  char bytes[16384];
  const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<size_t>(size));
  return true;
}

bool Connection::ReadHead(std::string* head) {
  size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = buffer_.find("\r\n\r\n");
  }
  *head = buffer_.substr(0, end + 4);
  buffer_.erase(0, end + 4);
  return true;
}

bool Connection::ReadExactly(size_t size, std::string* bytes) {
  while (buffer_.size() < size) {
    if (!Fill()) {
      *bytes = std::move(buffer_);
      buffer_.clear();
      return false;
    }
  }
  *bytes = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool Connection::ReadLine(std::string* line) {
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

std::string Connection::ReadFor(int64_t ms) {
  const int64_t until = NowMs() + ms;
  for (int64_t left = ms; left > 0; left = until - NowMs()) {
    pollfd wait{fd_, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(left)) > 0 && !Fill()) {
      break;
    }
  }
  return std::exchange(buffer_, "");
}

bool Connection::PeerHasClosed() const {
  char byte = 0;
  const ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::SetReadTimeout(int64_t ms) {
  timeval time{};
  time.tv_sec = ms / 1000;
  time.tv_usec = (ms % 1000) * 1000;
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

void Connection::Close() {
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
  }
}

std::string Request::Header(const std::string& name) const {
  return HeaderOf(headers_, name);
}

bool ReadRequest(Connection& connection, Request* request) {
  std::string head;
  if (!connection.ReadHead(&head)) {
    return false;
  }
  std::istringstream line(head);
  line >> request->method_ >> request->target_;
  request->headers_ = ParseHeaders(head);
  const std::string length = request->Header("Content-Length");
  request->body_.clear();
  return length.empty() ||
         connection.ReadExactly(std::strtoul(length.c_str(), nullptr, 10),
                                &request->body_);
}

Listener::Listener(const std::string& ip,
                   std::function<void(Connection&)> serve)
    : address_(ip + ":" + std::to_string(FreePort(ip))) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in own = Parse(address_);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0 ||
      listen(fd_, 512) != 0) {
    CannotRun("can't listen on " + address_);
  }
  thread_ = std::thread([fd = fd_, serve = std::move(serve)] {
    for (;;) {
      const int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0) {
        return;
      }
      const int nodelay = 1;
      setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
      std::thread([peer, serve] {
        Connection connection(peer);
        serve(connection);
      }).detach();
    }
  });
  thread_.detach();
}

void Listener::Stop() {
  shutdown(fd_, SHUT_RDWR);
  close(fd_);
}

Store::Store(const std::string& ip) {
  listener_ = std::make_unique<Listener>(
      ip, [this](Connection& connection) { Serve(connection); });
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  topics_[topic].push_back({key, value});
}

void Store::Serve(Connection& connection) {
  Request request;
  while (ReadRequest(connection, &request) && !resetting_) {
    const std::string topic = QueryValue(request.target_, "topic");
    const bool newest = request.target_.compare(0, 11, "/log-newest") == 0;
    const bool read = request.target_.compare(0, 9, "/log-read") == 0;
    std::string body;
    std::string status = "200 OK";
    if (newest) {
      body = Newest(topic);
    } else if (read) {
      const std::string wait = QueryValue(request.target_, "wait_ms");
      body = Read(topic,
                  std::strtoul(QueryValue(request.target_, "from").c_str(),
                               nullptr, 10),
                  std::strtol(wait.empty() ? "0" : wait.c_str(), nullptr, 10));
    } else {
      status = "404 Not Found";
    }
    if (resetting_) {
      return;
    }
    connection.Write(
        "HTTP/1.1 " + status + "\r\nContent-Type: " +
        (newest ? "application/json" : "application/octet-stream") +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body);
  }
}

std::string Store::Newest(const std::string& topic) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, size_t> newest;
  const std::vector<Entry>& entries = topics_[topic];
  for (size_t i = 0; i < entries.size(); ++i) {
    newest[entries[i].key_] = i;
  }
  std::string items;
  for (const auto& [key, offset] : newest) {
    if (!entries[offset].value_.empty()) {
      items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
               "\",\"value\":\"" + Base64(entries[offset].value_) +
               "\",\"offset\":" + std::to_string(offset) + "}";
    }
  }
  return "{\"items\":[" + items +
         "],\"has_more\":false,\"end\":" + std::to_string(entries.size()) + "}";
}

std::string Store::Read(const std::string& topic,
                        size_t from,
                        int64_t wait_ms) {
  const int64_t until = NowMs() + wait_ms;
  for (;;) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::vector<Entry>& entries = topics_[topic];
      if (entries.size() > from || NowMs() >= until || resetting_) {
        std::string bytes = BigEndian(entries.size(), 8) + BigEndian(0, 8);
        // The default of max_kb; at least one record.
        constexpr size_t kMaxBytes = size_t{1'024} << 10;
        for (size_t i = from; i < entries.size(); ++i) {
          const std::string content = BigEndian(entries[i].key_.size(), 1) +
                                      entries[i].key_ + entries[i].value_;
          if (i > from && bytes.size() + content.size() > kMaxBytes) {
            break;
          }
          bytes += BigEndian(content.size(), 4) + content;
        }
        return bytes;
      }
    }
    SleepFor(2);
  }
}

Server::Server(Store& store,
               std::string id,
               std::string service,
               const std::string& ip,
               int slots,
               Answer answer)
    : store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      slots_(slots),
      answer_(std::move(answer)),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  listener_ = std::make_unique<Listener>(
      ip, [this](Connection& connection) { Serve(connection); });
  Heartbeat();
  std::thread([this] {
    constexpr int64_t kHeartbeatMs = 1'200;
    for (;;) {
      SleepFor(kHeartbeatMs);
      Heartbeat();
    }
  }).detach();
}

std::string Server::NextEntry() {
  return "{\"service\":\"" + service_ + "\",\"address\":\"" +
         listener_->address() +
         "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" +
         std::to_string(slots_) + ",\"state\":\"" +
         (draining_ ? "draining" : "ready") +
         "\",\"cold_left_ms\":0,\"seq\":" + std::to_string(++seq_) +
         ",\"born\":" + std::to_string(born_) + "}";
}

void Server::Heartbeat() {
  if (!left_) {
    store_.Put("keyed.servers", id_, NextEntry());
  }
}

void Server::Leave() {
  left_ = true;
  store_.Put("keyed.servers", id_, "");
}

void Server::Serve(Connection& connection) {
  Request request;
  while (ReadRequest(connection, &request)) {
    if (request.Header("X-Bergamotscale-Expect-Instance") != id_) {
      connection.Write(
          "HTTP/1.1 421 Misdirected Request\r\nX-Bergamotscale-Request-Id: " +
          request.Header("X-Bergamotscale-Request-Id") +
          "\r\nX-Bergamotscale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    Run run;
    run.id_ = request.Header("X-Bergamotscale-Request-Id");
    run.method_ = request.method_;
    Record("server " + id_ + " got " + request.method_ + " " + run.id_);
    const bool keep = answer_(request, connection, &run);
    Record("server " + id_ +
           (run.began_ < 0 ? " did not run "
            : run.whole_   ? " ran and answered "
                           : " ran, but could not answer, ") +
           run.id_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.push_back(run);
    }
    if (!keep) {
      return;
    }
  }
}

std::vector<Run> Server::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

std::string AnswerHead(const Request& request,
                       const std::string& status,
                       const std::string& more_headers) {
  return "HTTP/1.1 " + status + "\r\nX-Bergamotscale-Request-Id: " +
         request.Header("X-Bergamotscale-Request-Id") +
         "\r\nX-Bergamotscale-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
         "Keep-Alive: timeout=15\r\n" + more_headers + "\r\n";
}

bool AnswerAfter(int64_t work_ms,
                 const Request& request,
                 const std::string& body,
                 Connection& connection,
                 Run* run) {
  run->began_ = NowMs();
  SleepFor(work_ms);
  run->ended_ = NowMs();
  const std::string content = request.method_ == "HEAD" ? "" : body;
  run->whole_ =
      !connection.PeerHasClosed() &&
      connection.Write(AnswerHead(request, "200 OK",
                                  "Content-Length: " +
                                      std::to_string(body.size()) + "\r\n") +
                       content);
  return run->whole_;
}

bool StreamEvents(int events,
                  int64_t pace_ms,
                  const Request& request,
                  Connection& connection,
                  Run* run) {
  run->began_ = NowMs();
  const int64_t began = NowMs();
  bool ok = connection.Write(AnswerHead(request, "200 OK",
                                        "Content-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n"));
  for (int i = 1; ok && i <= events; ++i) {
    SleepUntil(began + (i - 1) * pace_ms);
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + Filler(40) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    ok = !connection.PeerHasClosed() && connection.Write(size + event + "\r\n");
  }
  ok = ok && connection.Write("0\r\n\r\n");
  run->ended_ = NowMs();
  run->whole_ = ok;
  return ok;
}

Gateway::Gateway(const std::string& ip,
                 const std::string& store,
                 const std::map<std::string, std::string>& more) {
  callers_ = ip + ":" + std::to_string(FreePort(ip));
  ready_ = ip + ":" + std::to_string(FreePort(ip));
  fields_ = {
      {"node_name", Quote("front-z1-1")},
      {"zone", Quote("z1")},
      {"ip", Quote(ip)},
      {"listen.front", Quote(callers_)},
      {"listen.ready", Quote(ready_)},
      {"port_range.0", std::to_string(FreePort(ip))},
      {"seeds", "[" + Quote(ip + ":8229") + "]"},
      {"platform.address", Quote(store)},
      {"limits.link_mbps", "1000.0"},
      {"limits.max_fds", "4100"},
      {"bounds.revoke_ms", "5000"},
      {"bounds.config_apply_ms", "2000"},
      {"bounds.drain_ms", "2000"},
      {"bounds.grace_s", "8"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_window_s", "10"},
      {"bounds.budget_extra", "54"},
  };
  for (const auto& [name, value] : more) {
    fields_[name] = value;
  }
  char folder[] = "/tmp/review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    CannotRun("no temporary folder");
  }
  folder_ = folder;
  folders.push_back(folder_);
  settings_file_ = folder_ + "/settings";
}

Gateway::~Gateway() {
  if (pid_ > 0 && !HasEnded()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
  }
}

void Gateway::Start() {
  const std::vector<std::string> words = DeployCommand();
  if (access(words[0].c_str(), X_OK) != 0) {
    CannotRun("no program " + words[0] + "; run the deploy file's build");
  }
  std::ofstream(settings_file_)
      << Render(ReadFile("deploy/gateway_settings.json"), fields_);
  std::vector<char*> arguments;
  for (const std::string& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const std::string variable = "BERGAMOTSCALE_NODE_FILE=" + settings_file_;
  const std::string log = folder_ + "/gateway.log";
  char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
  pid_ = fork();
  if (pid_ == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment);
    _exit(127);
  }
  processes.push_back(pid_);
  status_ = -1;
  Record("gateway started");
}

bool Gateway::AwaitReady(int64_t ms) {
  const int64_t until = NowMs() + ms;
  while (NowMs() < until && !HasEnded()) {
    const auto probe = Connection::Open(ready_);
    std::string head;
    if (probe != nullptr) {
      probe->SetReadTimeout(1'000);
      if (probe->Write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n") &&
          probe->ReadHead(&head) && head.find(" 200 ") < 12) {
        Record("gateway is ready");
        return true;
      }
    }
    SleepFor(20);
  }
  return false;
}

void Gateway::Signal(int signal) {
  kill(pid_, signal);
}

bool Gateway::HasEnded() {
  if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
    Record("gateway ended, status " + std::to_string(status_));
    processes.erase(std::remove(processes.begin(), processes.end(), pid_),
                    processes.end());
    pid_ = -1;
  }
  return pid_ < 0;
}

void Gateway::AwaitEnd(int64_t ms) {
  const int64_t until = NowMs() + ms;
  while (!HasEnded() && NowMs() < until) {
    SleepFor(5);
  }
  if (!HasEnded()) {
    Record("gateway is killed at the end of its grace");
    kill(pid_, SIGKILL);
    while (!HasEnded()) {
      SleepFor(5);
    }
  }
}

Answer Exchange(Connection& connection, const Call& call) {
  Answer answer;
  std::string bytes =
      call.method_ + " " + call.path_ +
      " HTTP/1.1\r\nHost: h.example\r\nX-Bergamotscale-Request-Id: " +
      call.id_ +
      "\r\nX-Bergamotscale-Deadline-Ms: " + std::to_string(call.deadline_ms_) +
      "\r\nX-Bergamotscale-Key: " + call.key_ + "\r\n" + call.more_headers_;
  if (call.method_ == "POST") {
    bytes += "Content-Length: " + std::to_string(call.body_.size()) + "\r\n";
  }
  bytes += "\r\n" + call.body_;
  answer.sent_ = connection.Write(bytes);
  answer.sent_at_ = NowMs();
  Record("client sent " + call.method_ + " " + call.id_);
  connection.SetReadTimeout(call.deadline_ms_ + 1'000);
  if (answer.sent_ && connection.ReadHead(&answer.head_)) {
    answer.status_ =
        static_cast<int>(std::strtol(&answer.head_[9], nullptr, 10));
    const auto headers = ParseHeaders(answer.head_);
    answer.closes_ = Lower(HeaderOf(headers, "Connection")) == "close";
    const std::string length = HeaderOf(headers, "Content-Length");
    if (Lower(HeaderOf(headers, "Transfer-Encoding")) == "chunked") {
      for (std::string line; connection.ReadLine(&line);) {
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        std::string part;
        if (!connection.ReadExactly(size, &part)) {
          break;
        }
        answer.body_ += part;
        if (!connection.ReadLine(&line)) {
          break;
        }
        if (size == 0) {
          answer.whole_ = true;
          break;
        }
      }
    } else if (call.method_ == "HEAD") {
      answer.whole_ = true;
    } else {
      answer.whole_ = connection.ReadExactly(
          std::strtoul(length.c_str(), nullptr, 10), &answer.body_);
    }
  }
  answer.ended_at_ = NowMs();
  Record("client saw " +
         (answer.status_ == 0 ? "no answer"
                              : std::to_string(answer.status_) +
                                    (answer.whole_ ? ", whole" : ", cut off")) +
         " to " + call.id_ + " after " +
         std::to_string(answer.ended_at_ - answer.sent_at_) + " ms");
  return answer;
}

std::string Filler(size_t size) {
  std::string text;
  for (size_t i = 0; i < size; ++i) {
    text += static_cast<char>('a' + i % 26);
  }
  return text;
}

}  // namespace review

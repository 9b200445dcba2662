// Clients that read slowly: each stops reading its stream for a while and then
// reads on. slow_reader RECORD: exits with 1 if rule LOST was broken, 0 if it
// held, 2 if the case couldn't run. With TROUBLE=0 they read without a stop.
#include <csignal>

#include <netinet/tcp.h>
#include <poll.h>

#include "review/second/case_support.h"

namespace bergamotscale::review {
namespace {

constexpr int kClients = 8;
// The largest number and size of events of batch-tag in the site file.
constexpr int kEvents = 95;
constexpr size_t kEventBytes = 330;
constexpr Millis kPace = Millis(20);
// A client of this stream waits for eight times the pause that its sheet allows
// (600 ms) between two events.
constexpr Millis kStop = Millis(4'000);
constexpr Millis kStopsAfter = Millis(300);
constexpr Millis kPatience = Millis(8'000);
constexpr Millis kStability = Millis(3'000);
constexpr int kReceiveBuffer = 4'096;
// More than three of them break the rule.
constexpr int kAllowed = 3;

constexpr char kConfig[] =
    R"({"version":1,"routes":[)"
    R"({"name":"batch","host":"h.example","path_prefix":"/batch/",)"
    R"("kind":"streaming","timeout_ms":8000,"target_latency_ms":1000,)"
    R"("priority":2,"service":"llm","max_attempts":1,"public":false,)"
    R"("sticky":true,"resumable":false,"gap_aim_ms":600},)"
    R"({"name":"read","host":"h.example","path_prefix":"/read/",)"
    R"("kind":"safe","timeout_ms":1500,"target_latency_ms":300,)"
    R"("priority":2,"service":"app","max_attempts":2,"public":false}],)"
    R"("services":[{"name":"llm","max_conns":620,)"
    R"("engine":{"slots":128,"kv_capacity":1150253}},)"
    R"({"name":"app","max_conns":100}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"t1","api_keys":["key1"],"priority":1}]})";

struct Client {
  std::string id_;
  bool is_kept_ = false;
  bool was_reset_ = false;
  StreamSeen seen_;
};

// @return a connection with a small receive buffer; negative if there is none.
int Connect(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
             sizeof(kReceiveBuffer));
  const size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  to.sin_port = htons(static_cast<uint16_t>(std::atoi(&address[colon + 1])));
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Reads what there is until the time or the end of the connection.
// @return false if the connection has ended.
bool ReadUntil(int fd, Millis until, std::string* bytes, bool* was_reset) {
  while (SteadyNow() < until) {
    pollfd state{fd, POLLIN, 0};
    if (poll(&state, 1, 10) <= 0) {
      continue;
    }
    char part[1'024];
    const ssize_t count = recv(fd, part, sizeof(part), 0);
    if (count <= 0) {
      *was_reset = count < 0;
      return false;
    }
    bytes->append(part, static_cast<size_t>(count));
    if (bytes->find("\r\n0\r\n\r\n") != std::string::npos) {
      return true;
    }
  }
  return true;
}

std::string Unchunk(std::string bytes, bool* is_whole) {
  std::string body;
  const size_t head = bytes.find("\r\n\r\n");
  if (head == std::string::npos) {
    return body;
  }
  bytes.erase(0, head + 4);
  while (true) {
    const size_t line = bytes.find("\r\n");
    if (line == std::string::npos) {
      return body;
    }
    const size_t size = std::strtoul(bytes.c_str(), nullptr, 16);
    if (size == 0) {
      *is_whole = true;
      return body;
    }
    body += bytes.substr(line + 2, size);
    if (bytes.size() < line + 2 + size + 2) {
      return body;
    }
    bytes.erase(0, line + 2 + size + 2);
  }
}

void RunClient(const std::string& gateway, CaseRecord& record, Client* client) {
  const int fd = Connect(gateway);
  if (fd < 0) {
    return;
  }
  Wire wire(fd);
  tests::CallerRequest read;
  read.method_ = "GET";
  read.path_ = "/read/1";
  read.id_ = client->id_ + "-read";
  client->is_kept_ = tests::Exchange(wire, read).status_ == 200;

  tests::CallerRequest request;
  request.path_ = "/batch/1";
  request.id_ = client->id_;
  request.patience_ = kPatience;
  request.headers_ = "X-Events: " + std::to_string(kEvents) +
                     "\r\nX-Bergamotscale-Token-Counts: 17020,475\r\n"
                     "X-Bergamotscale-Prefix-Hash: 5c1e07a2:13300," +
                     client->id_ + ":3720\r\n";
  request.body_ = std::string(1'500, 's');
  StreamSeen& seen = client->seen_;
  std::string bytes;
  if (wire.Write(request.Head() + request.body_)) {
    seen.sent_at_ = SteadyNow();
    const Millis gives_up = seen.sent_at_ + kPatience;
    bool is_open = true;
    if (HasTrouble()) {
      is_open = ReadUntil(fd, seen.sent_at_ + kStopsAfter, &bytes,
                          &client->was_reset_);
      record.Add("client " + client->id_ + " stops reading for " +
                 std::to_string(kStop.count()) + " ms, after " +
                 std::to_string(bytes.size()) + " bytes");
      SleepFor(kStop);
    }
    if (is_open) {
      ReadUntil(fd, gives_up, &bytes, &client->was_reset_);
    }
    seen.ended_at_ = SteadyNow();
  }
  seen.status_ = bytes.size() > 12 ? std::atoi(bytes.c_str() + 9) : 0;
  CountEvents(Unchunk(bytes, &seen.is_whole_), &seen);
  record.Add("client " + client->id_ + ": " + seen.Text() +
             (client->was_reset_ ? ", connection reset" : ""));
}

int RunCase(const std::string& file) {
  CaseRecord record(file);
  tests::ScratchFolder folder;
  tests::StoreStandIn store(tests::LoopbackIp(1));
  store.Put("keyed.op", "config", kConfig);
  EngineOptions options;
  options.id_ = "i-engine1";
  options.ip_ = tests::LoopbackIp(10);
  options.slots_ = 128;
  options.pace_ = kPace;
  options.event_bytes_ = kEventBytes;
  Engine engine(store, record, options);
  tests::ServerStandIn app(store, "i-app", "app", tests::LoopbackIp(20));
  tests::GatewayProcess gateway(folder.File(""), tests::LoopbackIp(4),
                                store.address());
  gateway.Start();
  if (!gateway.AwaitReady(Millis(10'000))) {
    record.Add("the gateway is not ready");
    return kCouldNotRun;
  }
  SleepFor(kStability + Millis(500));
  gateway.Signal(SIGHUP);
  record.Add("SIGHUP to the gateway, with the same settings");

  std::vector<Client> clients(kClients);
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    Client& client = clients[static_cast<size_t>(i)];
    client.id_ = "batch" + std::to_string(i + 1);
    threads.emplace_back(
        [&] { RunClient(gateway.address(), record, &client); });
    SleepFor(Millis(10));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }

  int broken = 0;
  int served = 0;
  for (const Client& client : clients) {
    const bool has_begun = client.seen_.events_ > 0;
    served += has_begun ? 1 : 0;
    broken += has_begun && !client.seen_.is_whole_ && client.is_kept_ ? 1 : 0;
  }
  if (const char* keep = std::getenv("KEEP_LOG")) {
    std::ofstream(keep) << std::ifstream(gateway.log_file()).rdbuf();
  }
  record.Add("streams: " + std::to_string(served) +
             ", ended before their end on kept connections: " +
             std::to_string(broken));
  if (served < kClients) {
    return kCouldNotRun;
  }
  return broken > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace bergamotscale::review

int main(int argc, char** argv) {
  return argc == 2 ? bergamotscale::review::RunCase(argv[1])
                   : bergamotscale::review::kCouldNotRun;
}

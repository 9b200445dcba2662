#include "src/http/listening_socket.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <string>
#include <system_error>

namespace bergamotscale::http {
namespace {

// Of the TCP header, at which the filter's view of a packet begins.
constexpr uint32_t kFlagsOffset = 13;
constexpr uint32_t kSynFlag = 0x02;
constexpr uint32_t kAckFlag = 0x10;
constexpr uint32_t kDropPacket = 0;
constexpr uint32_t kWholePacket = 0xffffffff;

// @return the local port of a TCP socket, or 0.
uint16_t LocalPort(int socket) {
  sockaddr_storage address = {};
  socklen_t size = sizeof(address);
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return 0;
  }
  if (address.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
  }
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
  }
  return 0;
}

// @return an integer option of SOL_SOCKET, or -1.
int SocketOption(int socket, int option) {
  int value = -1;
  socklen_t size = sizeof(value);
  const int failed = getsockopt(socket, SOL_SOCKET, option, &value, &size);
  return failed == 0 ? value : -1;
}

// @return how many connections a listening socket holds.
int AcceptQueue(int socket) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  const int failed = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size);
  // Of a listening socket the kernel tells the length of its queue here.
  return failed == 0 ? static_cast<int>(info.tcpi_unacked) : 0;
}

void AddSocket(int socket, uint16_t port, PortSockets* sockets) {
  const bool matches =
      SocketOption(socket, SO_TYPE) == SOCK_STREAM && LocalPort(socket) == port;
  if (!matches) {
    return;
  }
  if (SocketOption(socket, SO_ACCEPTCONN) == 1) {
    sockets->listening_.push_back(socket);
    sockets->to_accept_ += AcceptQueue(socket);
  } else {
    ++sockets->connected_;
  }
}

}  // namespace

Status DropNewConnections(int socket) {
  std::array<sock_filter, 5> steps = {{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynFlag | kAckFlag),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSynFlag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, kDropPacket),
      BPF_STMT(BPF_RET | BPF_K, kWholePacket),
  }};
  const sock_fprog program = {static_cast<uint16_t>(steps.size()),
                              steps.data()};
  if (setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                 sizeof(program)) != 0) {
    return Error(ErrorCode::kInternal, std::strerror(errno));
  }
  return Done{};
}

PortSockets FindPortSockets(uint16_t port) {
  PortSockets sockets;
  std::error_code error;
  std::filesystem::directory_iterator entries("/proc/self/fd", error);
  for (; !error && entries != std::filesystem::directory_iterator();
       entries.increment(error)) {
    const std::string name = entries->path().filename().string();
    int socket = -1;
    std::from_chars(name.data(), name.data() + name.size(), socket);
    AddSocket(socket, port, &sockets);
  }
  return sockets;
}

}  // namespace bergamotscale::http

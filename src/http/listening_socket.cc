#include "src/http/listening_socket.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>

namespace bergamotscale::http {
namespace {

// Offset of the flags in the TCP header. The data that the filter sees begins
// with that header.
constexpr uint32_t kFlagsOffset = 13;
constexpr uint32_t kSynFlag = 0x02;
constexpr uint32_t kAckFlag = 0x10;
constexpr uint32_t kDropPacket = 0;
constexpr uint32_t kWholePacket = 0xffffffff;

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

}  // namespace bergamotscale::http

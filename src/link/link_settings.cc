#include "src/link/link_settings.h"

namespace bergamotscale::link {
namespace {

using settings::FieldReader;
using Need = FieldReader::Need;

constexpr int kMaxPort = 65535;
constexpr Millis kMinTimeout = Millis(10);
constexpr Millis kMaxTimeout = Millis(600000);

void ReadTimeout(FieldReader& reader, const char* key, Millis* target) {
  reader.Duration(key, Need::kOptional, kMinTimeout, kMaxTimeout, target);
}

}  // namespace

void ReadEndpointMembers(FieldReader& reader, Endpoint* target) {
  int port = target->port_;
  reader.String("address", Need::kRequired, &target->address_);
  reader.Integer("port", Need::kRequired, 1, kMaxPort, &port);
  target->port_ = static_cast<uint16_t>(port);
}

void ReadEndpoint(FieldReader& reader, const char* key, Endpoint* target) {
  reader.Object(key, Need::kRequired, [target](FieldReader& nested) {
    ReadEndpointMembers(nested, target);
  });
}

void ReadLinkOptions(FieldReader& reader, LinkOptions* options) {
  reader.Object("link_options", Need::kOptional, [options](FieldReader& link) {
    ReadTimeout(link, "heartbeat_interval_ms", &options->heartbeat_interval_);
    ReadTimeout(link, "heartbeat_timeout_ms", &options->heartbeat_timeout_);
    ReadTimeout(link, "connect_timeout_ms", &options->connect_timeout_);
    ReadTimeout(link, "reconnect_delay_ms", &options->reconnect_delay_);
  });
}

}  // namespace bergamotscale::link

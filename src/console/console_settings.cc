#include <utility>

#include "src/config/key_hash.h"
#include "src/console/console.h"

namespace bergamotscale::console {

using settings::FieldReader;
using Need = FieldReader::Need;

void ReadConsoleSettings(FieldReader& reader, ConsoleSettings* settings) {
  reader.String("address", Need::kOptional, &settings->address_);
  reader.Integer("port", Need::kRequired, 1, 65535, &settings->port_);
  reader.String("listener_address", Need::kOptional,
                &settings->listener_address_);
  reader.Integer("listener_port", Need::kOptional, 1, 65535,
                 &settings->listener_port_);
  reader.String("log_url", Need::kRequired, &settings->log_url_);
  reader.Objects(
      "bootstrap_operators", Need::kOptional, [&](FieldReader& nested) {
        Operator entry;
        nested.String("name", Need::kRequired, &entry.name_);
        nested.String("password_hash", Need::kRequired, &entry.password_hash_);
        if (!config::IsPasswordHash(entry.password_hash_)) {
          nested.AddError("password_hash", "iterations$hex salt$hex hash");
        }
        settings->bootstrap_operators_.push_back(std::move(entry));
      });
}

}  // namespace bergamotscale::console

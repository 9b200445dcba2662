// Reads the settings of links.
#ifndef BERGAMOTSCALE_SRC_LINK_LINK_SETTINGS_H_
#define BERGAMOTSCALE_SRC_LINK_LINK_SETTINGS_H_

#include "src/link/link.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::link {

// Reads the members "address" and "port" of the reader's object.
// Thread safety: that of FieldReader.
void ReadEndpointMembers(settings::FieldReader& reader, Endpoint* target);

// Reads a required object with an address and a port.
void ReadEndpoint(settings::FieldReader& reader,
                  const char* key,
                  Endpoint* target);

// Reads the optional object "link_options".
void ReadLinkOptions(settings::FieldReader& reader, LinkOptions* options);

}  // namespace bergamotscale::link

#endif  // BERGAMOTSCALE_SRC_LINK_LINK_SETTINGS_H_

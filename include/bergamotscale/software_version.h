// The software version of an upstream.
#ifndef BERGAMOTSCALE_SOFTWARE_VERSION_H_
#define BERGAMOTSCALE_SOFTWARE_VERSION_H_

#include "bergamotscale/ids.h"

namespace bergamotscale {

// As the upstream names it. Versions can be equal or different, but have no
// order.
using SoftwareVersion = StringId<struct SoftwareVersionTag>;

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_SOFTWARE_VERSION_H_

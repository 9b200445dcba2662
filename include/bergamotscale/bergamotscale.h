// Includes all public headers.
#ifndef BERGAMOTSCALE_BERGAMOTSCALE_H_
#define BERGAMOTSCALE_BERGAMOTSCALE_H_

#include "bergamotscale/clock.h"
#include "bergamotscale/config_document.h"
#include "bergamotscale/error.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/software_version.h"
#include "bergamotscale/units.h"
#include "bergamotscale/verdict.h"

#endif  // BERGAMOTSCALE_BERGAMOTSCALE_H_

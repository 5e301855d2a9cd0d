#pragma once

#include "fescue/tools/blockinghttp.h"
#include "fescue/tools/blockingstore.h"
#include "fescue/tools/fwd.h"
#include "fescue/tools/loglines.h"
#include "fescue/tools/publication.h"
#include "fescue/tools/rollout.h"
#include "fescue/tools/servicefiles.h"
#include "fescue/tools/timelinemerge.h"

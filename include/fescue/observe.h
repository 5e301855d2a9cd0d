#pragma once

#include "fescue/observe/fwd.h"
#include "fescue/observe/log.h"
#include "fescue/observe/metrics.h"
#include "fescue/observe/timeline.h"

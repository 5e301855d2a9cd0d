#pragma once

// Model of a continuously batching engine, for measurements and for stand-ins.
#include "fescue/emulator/enginemodel.h"
#include "fescue/emulator/enginesettings.h"
#include "fescue/emulator/fwd.h"
#include "fescue/emulator/prefixcache.h"

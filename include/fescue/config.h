#pragma once

#include "fescue/config/accountkeys.h"
#include "fescue/config/errorlist.h"
#include "fescue/config/fwd.h"
#include "fescue/config/hostport.h"
#include "fescue/config/inifile.h"
#include "fescue/config/naming.h"
#include "fescue/config/sectionreader.h"
#include "fescue/config/settings.h"
#include "fescue/config/snapshotcheck.h"
#include "fescue/config/snapshotjson.h"

#pragma once

#include "fescue/node/creditclient.h"
#include "fescue/node/memberjson.h"
#include "fescue/node/nodecontrol.h"
#include "fescue/node/nodeoptions.h"
#include "fescue/node/nodeview.h"

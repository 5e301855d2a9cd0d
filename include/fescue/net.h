#pragma once

// The network library: workers, HTTP server and client, clients of the platform's services.
#include "fescue/net/bytebudget.h"
#include "fescue/net/endpointaddress.h"
#include "fescue/net/httpclient.h"
#include "fescue/net/httpserver.h"
#include "fescue/net/httptypes.h"
#include "fescue/net/sseparser.h"
#include "fescue/net/storeclient.h"
#include "fescue/net/vmlistclient.h"
#include "fescue/net/workerpool.h"

#pragma once

#include "fescue/peer/codec.h"
#include "fescue/peer/messages.h"
#include "fescue/peer/peerlinks.h"

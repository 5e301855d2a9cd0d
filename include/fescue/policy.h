#pragma once

// Admission and routing of requests. The code performs no I/O and reads no clock: callers pass the
// time and the events, and receive decisions.
#include "fescue/policy/admissionqueue.h"
#include "fescue/policy/credit.h"
#include "fescue/policy/creditauthority.h"
#include "fescue/policy/creditbalance.h"
#include "fescue/policy/entryadmission.h"
#include "fescue/policy/fairqueue.h"
#include "fescue/policy/fwd.h"
#include "fescue/policy/lengthforecast.h"
#include "fescue/policy/policies.h"
#include "fescue/policy/request.h"
#include "fescue/policy/router.h"
#include "fescue/policy/slowstart.h"
#include "fescue/policy/startrate.h"

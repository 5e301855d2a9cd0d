#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/gateway/accountstreams.h"
#include "fescue/gateway/admissiongate.h"
#include "fescue/gateway/gatewayview.h"
#include "fescue/gateway/retrybudgets.h"
#include "fescue/net/httpclient.h"
#include "fescue/net/storeclient.h"
#include "fescue/net/workerpool.h"
#include "fescue/observe/metrics.h"
#include "fescue/observe/timeline.h"

#include <cstddef>

namespace fescue::gateway {

// Times and sizes that the data path of an entry works with.
struct GatewayLimits
{
    // Longest life of a request whose caller names no deadline.
    Millis defaultDeadline = 1800_s;
    // Time without any byte of an engine after which its connection counts as silent. It doubles
    // with each attempt that brings no new token, since an engine may also be busy for long.
    Millis engineSilence = 2_s;
    // Longest wait for the head of an engine's answer.
    Millis engineHeadTimeout = 5_s;
    // Interval of comments to the caller while there are no tokens.
    Millis callerKeepAlive = 1_s;
    std::size_t readBufferBytes = std::size_t {8} * 1024;
    // Longest idempotency key, in bytes.
    std::size_t maxKeyBytes = 256;
};

// The shared parts that requests at one entry use. All of them are safe to use from any worker.
//
// Lock order: GatewayViews, AdmissionGate, RetryBudgets and AccountStreams each have one lock, and
// every one of them is a leaf: none is held while another is taken, or while a fiber waits.
struct GatewayParts
{
    MemberName member;
    Incarnation incarnation;
    GatewayLimits limits;
    SteadyClock clock;
    GatewayViews &views;
    AdmissionGate &admission;
    RetryBudgets &budgets;
    AccountStreams &streams;
    net::WorkerPool &pool;
    net::HttpClient &client;
    const net::StoreClient &claims;
    observe::Metrics &metrics;
    observe::Timeline &timeline;
};

} // namespace fescue::gateway

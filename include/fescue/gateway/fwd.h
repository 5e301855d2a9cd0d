#pragma once

namespace fescue::gateway {

class AccountStreams;
class AdmissionGate;
class Gateway;
class GenerationRelay;
class PlainCall;
class RetryBudgets;
class StreamTicket;
struct CompletionRequest;
struct GatewayParts;
struct GatewayView;

} // namespace fescue::gateway

#pragma once

#include "fescue/core/backoff.h"
#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace fescue {

enum class OrderKind : std::uint8_t
{
    LoadModel,
    UnloadModel,
    LoadAdapter,
    SetRole,
};

// Returns the name that the protocol of the engines uses, for example "load-model".
[[nodiscard]] std::string_view toString(OrderKind kind) noexcept;

// Something that an endpoint is told to do. Orders state the wanted result, so that a repeated one
// does no harm.
struct Order
{
    OrderKind kind = OrderKind::LoadModel;
    // The model, adapter, version or role.
    std::string argument;
    bool operator==(const Order &) const = default;
};

// An order with the fencing number of the owner that gives it.
struct FencedOrder
{
    Order order;
    FencingNumber fence;
    bool operator==(const FencedOrder &) const = default;
};

enum class OrderAnswer : std::uint8_t
{
    Done,
    // No byte was sent.
    NotSent,
    // It may have been carried out.
    AnswerLost,
    // The endpoint has seen a greater fencing number.
    FenceOutdated,
};

// The orders that wait for one endpoint, sent one at a time and in order. Belongs to the owner of
// the endpoint; a successor starts with a ledger of its own.
class OrderLedger
{
public:
    // Adds an order, unless the last one that waits is the same.
    void add(Order order);

    // Returns the order to send now and marks it as sent. `mayOrder` is the answer that
    // OwnershipMachine::mayOrder() gives at this moment. Empty where nothing may be sent.
    [[nodiscard]] std::optional<FencedOrder> next(Millis now, bool mayOrder, FencingNumber fence);

    // Records the answer to the order in flight. `uniform` is a random number in [0, 1).
    void answered(Millis now, OrderAnswer answer, double uniform);

    // Drops everything that waits: this process is no longer the owner.
    void clear();

    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    [[nodiscard]] bool inFlight() const noexcept { return m_inFlight; }

private:
    std::deque<Order> m_waiting;
    bool m_inFlight = false;
    Millis m_notBefore {0};
    Backoff m_backoff {{100_ms, 5_s}};
};

} // namespace fescue

#include "fescue/core/orders.h"

#include <utility>

namespace fescue {

std::string_view toString(OrderKind kind) noexcept
{
    switch (kind) {
    case OrderKind::LoadModel:
        return "load-model";
    case OrderKind::UnloadModel:
        return "unload-model";
    case OrderKind::LoadAdapter:
        return "load-adapter";
    case OrderKind::SetRole:
        return "set-role";
    }
    return "unknown";
}

void OrderLedger::add(Order order)
{
    if (m_waiting.empty() || m_waiting.back() != order)
        m_waiting.push_back(std::move(order));
}

std::optional<FencedOrder> OrderLedger::next(Millis now, bool mayOrder, FencingNumber fence)
{
    if (!mayOrder || m_inFlight || m_waiting.empty() || now < m_notBefore)
        return std::nullopt;
    m_inFlight = true;
    return FencedOrder {m_waiting.front(), fence};
}

void OrderLedger::answered(Millis now, OrderAnswer answer, double uniform)
{
    if (!m_inFlight)
        return;
    m_inFlight = false;
    switch (answer) {
    case OrderAnswer::Done:
        m_waiting.pop_front();
        m_backoff.reset();
        return;
    case OrderAnswer::NotSent:
    case OrderAnswer::AnswerLost:
        m_notBefore = now + m_backoff.next(uniform);
        return;
    case OrderAnswer::FenceOutdated:
        clear();
        return;
    }
}

void OrderLedger::clear()
{
    m_waiting.clear();
    m_inFlight = false;
}

} // namespace fescue

#include "fescue/serving/quarantinenotices.h"

namespace fescue::serving {

namespace {

// Number of ticks with which a notice is sent again.
constexpr int repeats = 2;
// Number of ticks between two messages with all entries.
constexpr std::uint64_t ticksPerSync = 4;

} // namespace

QuarantineNotices::QuarantineNotices(ServingState &state, MemberDatagrams &datagrams, Apply apply)
    : m_state(&state), m_datagrams(&datagrams), m_apply(std::move(apply))
{
    datagrams.setHandler(DatagramKind::Quarantine,
                         [this](std::string_view bytes) { return handle(bytes); });
}

void QuarantineNotices::send(const QuarantineNotice &notice, bool toOtherZones)
{
    sendOnce(notice, toOtherZones);
    m_repeated.push_back({notice, toOtherZones, repeats});
}

void QuarantineNotices::sendOnce(const QuarantineNotice &notice, bool toOtherZones)
{
    QuarantineNotice own = notice;
    own.fromZone = m_state->settings.zone;
    m_datagrams->spread(DatagramKind::Quarantine, encodeQuarantineNotice(own, ServingState::now()),
                        toOtherZones);
}

void QuarantineNotices::tick()
{
    for (Repeated &repeated : m_repeated) {
        --repeated.repeatsLeft;
        sendOnce(repeated.notice, repeated.toOtherZones);
    }
    std::erase_if(m_repeated, [](const Repeated &repeated) { return repeated.repeatsLeft <= 0; });
    const bool isSyncDue = ++m_ticks % ticksPerSync == 0;
    QuarantineNotice all;
    if (isSyncDue)
        all.entries = m_state->quarantine.entries();
    if (!all.empty())
        sendOnce(all, false);
}

bool QuarantineNotices::handle(std::string_view bytes)
{
    const Result<QuarantineNotice> received = decodeQuarantineNotice(bytes, ServingState::now());
    if (!received)
        return false;
    const QuarantineNotice news = m_apply(*received);
    // In a large system only the relays of a zone receive notices from other zones, so they forward
    // them.
    const bool isFromOtherZone = received->fromZone != m_state->settings.zone;
    if (!news.empty() && isFromOtherZone && m_state->isLarge())
        send(news, false);
    return true;
}

} // namespace fescue::serving

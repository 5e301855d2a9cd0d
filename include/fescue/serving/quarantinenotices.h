#pragma once

#include "fescue/serving/memberdatagrams.h"
#include "fescue/serving/quarantinenotice.h"

#include <cstdint>
#include <vector>

namespace fescue::serving {

// Spreads news about crashes and quarantined prompt parts among the processes, and repeats it with
// the next ticks, since datagrams may be lost.
class QuarantineNotices
{
public:
    // Applies a notice of another process. Returns the part of it that was new.
    using Apply = std::function<QuarantineNotice(const QuarantineNotice &)>;

    QuarantineNotices(ServingState &state, MemberDatagrams &datagrams, Apply apply);

    // In a large system, other zones receive the notice through their relays.
    void send(const QuarantineNotice &notice, bool toOtherZones);
    // Repeats recent notices, and sends all entries at a longer interval, for processes that have
    // started meanwhile.
    void tick();

private:
    // A notice that is sent again.
    struct Repeated
    {
        QuarantineNotice notice;
        bool toOtherZones = false;
        int repeatsLeft = 0;
    };

    void sendOnce(const QuarantineNotice &notice, bool toOtherZones);
    [[nodiscard]] bool handle(std::string_view bytes);

    ServingState *m_state;
    MemberDatagrams *m_datagrams;
    Apply m_apply;
    std::vector<Repeated> m_repeated;
    std::uint64_t m_ticks = 0;
};

} // namespace fescue::serving

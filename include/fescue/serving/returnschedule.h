#pragma once

#include "fescue/core/clock.h"

#include <deque>
#include <map>
#include <optional>

namespace fescue::serving {

// Chooses when the callers of a service that this process refuses for lack of room come back, so
// that they do so one after the other, at the rate at which room becomes free: by priority, and
// those of the same priority in the order of their refusals. Each process schedules its own callers
// by the room that its own generations leave, so all processes together hand out the room that
// there is.
class ReturnSchedule
{
public:
    // Room that became free within this time gives the expected rate.
    static constexpr Millis rateWindow {4000};

    // Records that a generation of this process has ended and left room for another one.
    void recordRoom(Millis now);

    // Returns the delay after which a caller that is refused now finds room, and reserves that
    // place in the order: behind all of the same or a more urgent priority (a lower number), not
    // behind others. The delay is between `earliest` and `latest`. Returns nullopt if no room is
    // expected by then, or if nothing is known of the rate. `uniform` is a random number in [0, 1):
    // it places the first caller, so that processes that refuse at the same moment do not name the
    // same one.
    [[nodiscard]] std::optional<Millis> reserve(Millis now, int priority, Millis earliest,
                                                Millis latest, double uniform);

private:
    void forget(Millis now);

    // Times at which room became free, the oldest first.
    std::deque<Millis> m_room;
    // The last reserved place of each priority.
    std::map<int, Millis> m_lastPlaces;
};

} // namespace fescue::serving

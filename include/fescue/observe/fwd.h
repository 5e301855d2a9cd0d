#pragma once

namespace fescue::observe {

struct Event;
struct Field;
class Metrics;
class Timeline;

} // namespace fescue::observe

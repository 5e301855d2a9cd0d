#pragma once

namespace fescue::emulator {

class EngineModel;
class PrefixCache;
struct EngineEvent;
struct EngineLoad;
struct EngineRequest;
struct EngineSettings;

} // namespace fescue::emulator

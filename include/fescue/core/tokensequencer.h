#pragma once

#include "fescue/core/generationid.h"

#include <cstdint>

namespace fescue {

enum class SequencerVerdict : std::uint8_t
{
    // The next token: pass it on.
    Forward,
    // Already passed on: drop it.
    Duplicate,
    // Tokens before this one are missing: resume from nextIndex().
    Gap,
    // A token of another generation: drop it.
    OtherGeneration,
};

// Passes on each token of one generation once and in order.
class TokenSequencer
{
public:
    // Binds to one generation for good. The first token to pass on is `next`.
    explicit TokenSequencer(GenerationId generation, std::uint64_t next = 0) noexcept;

    // Judges a token that is known to belong to the bound generation.
    [[nodiscard]] SequencerVerdict accept(std::uint64_t index) noexcept;

    // Judges a token of any generation.
    [[nodiscard]] SequencerVerdict accept(const GenerationId &from, std::uint64_t index) noexcept;

    // Moves forward to a token that the caller asked to resume from. A smaller index is ignored,
    // since tokens are never passed on twice.
    void startAt(std::uint64_t index) noexcept;

    [[nodiscard]] std::uint64_t nextIndex() const noexcept { return m_next; }
    [[nodiscard]] const GenerationId &generation() const noexcept { return m_generation; }

private:
    GenerationId m_generation;
    std::uint64_t m_next;
};

} // namespace fescue

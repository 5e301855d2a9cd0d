#include "fescue/core/tokensequencer.h"

#include <utility>

namespace fescue {

TokenSequencer::TokenSequencer(GenerationId generation, std::uint64_t next) noexcept
    : m_generation(std::move(generation)), m_next(next)
{ }

SequencerVerdict TokenSequencer::accept(std::uint64_t index) noexcept
{
    if (index < m_next)
        return SequencerVerdict::Duplicate;
    if (index > m_next)
        return SequencerVerdict::Gap;
    ++m_next;
    return SequencerVerdict::Forward;
}

SequencerVerdict TokenSequencer::accept(const GenerationId &from, std::uint64_t index) noexcept
{
    if (from != m_generation)
        return SequencerVerdict::OtherGeneration;
    return accept(index);
}

void TokenSequencer::startAt(std::uint64_t index) noexcept
{
    if (index > m_next)
        m_next = index;
}

} // namespace fescue

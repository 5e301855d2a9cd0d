#include "net/stackpool.h"

#include <new>

#include <sys/mman.h>

namespace fescue::net {

namespace {

constexpr std::size_t guardBytes = 4096;
constexpr std::size_t stackBytes = 128ULL * 1024;
constexpr std::size_t mappedBytes = stackBytes + guardBytes;
// Free stacks keep the pages that were used.
constexpr std::size_t maxFreeStacks = 256;

void *mapStack()
{
    void *base = ::mmap(nullptr, mappedBytes, PROT_READ | PROT_WRITE,
                        MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (base == MAP_FAILED)
        throw std::bad_alloc();
    if (::mprotect(base, guardBytes, PROT_NONE) != 0) {
        ::munmap(base, mappedBytes);
        throw std::bad_alloc();
    }
    return base;
}

} // namespace

StackPool::~StackPool()
{
    for (void *base : m_free)
        ::munmap(base, mappedBytes);
}

boost::context::stack_context StackPool::allocate()
{
    void *base = nullptr;
    if (m_free.empty()) {
        base = mapStack();
    } else {
        base = m_free.back();
        m_free.pop_back();
    }
    boost::context::stack_context stack;
    stack.size = stackBytes;
    stack.sp = static_cast<char *>(base) + mappedBytes;
    return stack;
}

void StackPool::release(const boost::context::stack_context &stack) noexcept
{
    void *base = static_cast<char *>(stack.sp) - mappedBytes;
    if (m_free.size() < maxFreeStacks)
        m_free.push_back(base);
    else
        ::munmap(base, mappedBytes);
}

} // namespace fescue::net

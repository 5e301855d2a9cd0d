#pragma once

#include <cstddef>
#include <vector>

#include <boost/context/stack_context.hpp>

namespace fescue::net {

// Stacks of one size for the fibers of one thread, each with a guard page below it. A free stack
// is kept for the next fiber. Memory is used only for the pages that a fiber has touched.
class StackPool
{
public:
    StackPool() = default;
    ~StackPool();
    StackPool(const StackPool &) = delete;
    StackPool &operator=(const StackPool &) = delete;

    // Throws std::bad_alloc.
    [[nodiscard]] boost::context::stack_context allocate();
    void release(const boost::context::stack_context &stack) noexcept;

private:
    std::vector<void *> m_free;
};

// Hands a pool to Boost.Fiber, whose stack allocators are copied and named by its own convention.
class PooledStack
{
public:
    explicit PooledStack(StackPool &pool) noexcept : m_pool(&pool) { }

    [[nodiscard]] boost::context::stack_context allocate() { return m_pool->allocate(); }
    void deallocate(boost::context::stack_context &stack) noexcept { m_pool->release(stack); }

private:
    StackPool *m_pool;
};

} // namespace fescue::net

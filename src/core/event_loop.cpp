/** @file event_loop.cpp Event loop based on Boost.Asio. */
#include "core/event_loop_impl.h"
#include "core/guard_func.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <pthread.h>

namespace bulrushloft {

EventLoop::EventLoop(std::string name)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->m_thread = std::thread([this, name = std::move(name)] {
        pthread_setname_np(pthread_self(), name.substr(0, 15).c_str());
        while (!runGuarded(name, [this] { m_impl->m_context.run(); })) {
            // The context goes on with the next handler.
        }
    });
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(std::function<void()> work)
{
    boost::asio::post(m_impl->m_context, std::move(work));
}

void EventLoop::runAfter(Duration delay, std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_impl->m_context);
    timer->expires_after(std::chrono::milliseconds(delay.m_ms));
    timer->async_wait([timer, work = std::move(work)](boost::system::error_code error) {
        if (!error)
            work();
    });
}

void EventLoop::stop()
{
    if (!m_impl->m_thread.joinable())
        return;
    m_impl->m_context.stop();
    m_impl->m_thread.join();
}

} // namespace bulrushloft

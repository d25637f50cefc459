/** @file event_loop.h An event loop with its own thread, which runs posted functions, timers and socket callbacks. */
#pragma once

#include "core/clock_type.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrushloft {

/** One thread that runs posted functions, timers and the callbacks of sockets opened on this loop. */
class EventLoop {
public:
    struct Impl;

    /** @param name Name of the thread; truncated to 15 bytes, the limit of Linux. */
    explicit EventLoop(std::string name);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /** Queues a function for the loop's thread; may be called from any thread. */
    void post(std::function<void()> work);

    /** Runs a function on the loop's thread after a delay. */
    void runAfter(Duration delay, std::function<void()> work);

    /** Stops and joins the thread; functions that have not started are dropped. */
    void stop();

    /** @return The Boost.Asio objects, for modules that open sockets. */
    Impl& impl() { return *m_impl; }

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft

/** @file event_loop.h The thread of an input/output duty: runs posted work, timers and sockets. */
#pragma once

#include "core/clock_type.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrushloft {

/** One thread with a queue of work and timers; sockets of a duty live on its loop. */
class EventLoop {
public:
    struct Impl;

    /** @param name Name of the thread, at most 15 bytes. */
    explicit EventLoop(std::string name);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /** Runs work on the loop's thread, soon; may be called from any thread. */
    void post(std::function<void()> work);

    /** Runs work on the loop's thread after a delay. */
    void runAfter(Duration delay, std::function<void()> work);

    /** Ends the thread; work that has not begun is dropped. */
    void stop();

    /** @return The library's side, for the modules that open sockets. */
    Impl& impl() { return *m_impl; }

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft

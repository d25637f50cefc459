/** @file event_loop_impl.h Boost.Asio objects of an event loop, for modules that open sockets. */
#pragma once

#include "core/event_loop.h"

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace bulrushloft {

struct EventLoop::Impl {
    boost::asio::io_context m_context { 1 }; ///< Runs the posted functions, timers and socket callbacks.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard { m_context.get_executor() }; ///< Keeps run() from returning while the loop is idle.
    std::thread m_thread; ///< Runs m_context.
};

} // namespace bulrushloft

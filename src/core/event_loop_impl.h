/** @file event_loop_impl.h The library's side of an event loop, for modules that open sockets. */
#pragma once

#include "core/event_loop.h"

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace bulrushloft {

struct EventLoop::Impl {
    boost::asio::io_context m_context { 1 }; ///< Queue and sockets of the loop.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard { m_context.get_executor() }; ///< Keeps an idle loop alive.
    std::thread m_thread; ///< The duty's thread.
};

} // namespace bulrushloft

/** @file fault_proxy.h A loopback TCP proxy that delays, resets, cuts or silences the connections through it. */
#pragma once

#include "connection_owner.h"

#include "connection/http_type.h"
#include "core/error_type.h"
#include "core/event_loop.h"

#include <functional>
#include <memory>

namespace bulrushloft::soak {

/** How the connections through a proxy are treated. */
enum class ProxyMode : std::uint8_t {
    Pass, ///< Bytes are forwarded.
    Delay, ///< Bytes are forwarded some time later.
    Silence, ///< No bytes are forwarded either way, and new connections are accepted and ignored, as behind a partition.
    SilenceAnswers, ///< Requests are forwarded and answers are not: the path works one way only.
    Refuse, ///< New connections are closed at once, and open ones are reset.
};

/** What a connection loses to a cut. */
struct PathLoss {
    bool m_areRequestsLost = false; ///< Bytes from the caller are dropped.
    bool m_areAnswersLost = false; ///< Bytes to the caller are dropped.
};

/** Decides what the connections of a caller lose; called on the thread of the proxy's event loop, once for each connection and cut. */
using PathCut = std::function<PathLoss(const ConnectionEnds& ends)>;

/** One listening address whose connections are forwarded to another one. All functions may be called from any thread. */
class FaultProxy {
public:
    struct Impl;

    FaultProxy(EventLoop& loop, Address listen, Address target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    /** Starts listening. @return An error when the address can't be bound. */
    Expected<void> listen();

    /** Changes how bytes are treated from now on. Bytes that a silent path has held are lost, and its connections are reset when it passes bytes again. */
    void setMode(ProxyMode mode, Duration delay = {});

    /** Puts a cut in force, beside the mode; an empty function ends it, and resets the connections that have lost bytes to it. */
    void setCut(PathCut cut);

    /** Sets how many connections may be open at a time; further ones are reset at once. 0 for no limit. */
    void setConnectionLimit(std::size_t limit);

    /**
     * Plays the loss of power of a caller's machine: nothing passes on its connections any more, and they stay open towards the target for good, also
     * once the caller's process has ended.
     * @param isCaller Whether a connection is the caller's; called on the thread of the proxy's event loop.
     * @param onKept Called there with the number of these connections; the process may be ended from then on.
     */
    void keepConnections(std::function<bool(const ConnectionEnds& ends)> isCaller, std::function<void(std::size_t)> onKept);

    /** @return Connections that were reset because of the limit. */
    std::uint64_t countOverLimit() const;

    /** Resets all open connections once. */
    void resetConnections();

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace bulrushloft::soak

/** @file fault_proxy.cpp Forwarding of bytes between two sockets, subject to the fault in force. */
#include "fault_proxy.h"

#include "core/event_loop_impl.h"

#include <array>
#include <atomic>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <arpa/inet.h>

namespace bulrushloft::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

    class Pair;

} // namespace

struct FaultProxy::Impl : std::enable_shared_from_this<FaultProxy::Impl> {
    Impl(asio::io_context& context, Address listen, Address target)
        : m_context(context)
        , m_acceptor(context)
        , m_listen(std::move(listen))
        , m_target(std::move(target))
    {
    }

    void accept();
    void resetAll() const;

    asio::io_context& m_context;
    Tcp::acceptor m_acceptor;
    Address m_listen;
    Address m_target;
    ProxyMode m_mode = ProxyMode::Pass;
    Duration m_delay;
    PathCut m_cut; ///< Cut in force; empty if there is none.
    std::uint64_t m_cutNumber = 0; ///< Counts the changes of m_cut.
    std::set<std::shared_ptr<Pair>> m_pairs; ///< Open connections.
    std::size_t m_limit = 0; ///< Most open connections; 0 for no limit.
    std::atomic<std::uint64_t> m_overLimit { 0 }; ///< Connections that were reset because of it.
};

namespace {

    /** @return Ends of an accepted connection; zeros if it has been closed. */
    ConnectionEnds endsOf(const Tcp::socket& accepted)
    {
        boost::system::error_code error;
        const Tcp::endpoint caller = accepted.remote_endpoint(error);
        if (error)
            return {};
        const Tcp::endpoint called = accepted.local_endpoint(error);
        return { .m_callerAddress = htonl(caller.address().to_v4().to_uint()), .m_callerPort = htons(caller.port()), .m_calledAddress = htonl(called.address().to_v4().to_uint()), .m_calledPort = htons(called.port()) };
    }

    /** A caller's connection and the one to the target. */
    class Pair : public std::enable_shared_from_this<Pair> {
    public:
        Pair(Tcp::socket caller, std::shared_ptr<FaultProxy::Impl> proxy)
            : m_caller(std::move(caller))
            , m_target(proxy->m_context)
            , m_proxy(std::move(proxy))
        {
        }

        void start()
        {
            const Tcp::endpoint endpoint(asio::ip::make_address(m_proxy->m_target.m_host), m_proxy->m_target.m_port);
            m_target.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& error) {
                if (error)
                    return self->reset();
                self->read(self->m_caller, self->m_target, self->m_fromCaller, false);
                self->read(self->m_target, self->m_caller, self->m_fromTarget, true);
            });
        }

        /** Closes both connections with a reset. */
        void reset()
        {
            boost::system::error_code ignored;
            m_caller.set_option(asio::socket_base::linger(true, 0), ignored);
            m_caller.close(ignored);
            m_target.close(ignored);
            m_proxy->m_pairs.erase(shared_from_this());
        }

        /** Leaves the connection to the target open for good if the caller is the one meant. @return Whether it is. */
        bool keepIf(const std::function<bool(const ConnectionEnds&)>& isCaller)
        {
            const bool isNewlyKept = !m_isKept && isCaller(endsOf(m_caller));
            m_isKept = m_isKept || isNewlyKept;
            return isNewlyKept;
        }

        /** @return Whether bytes were dropped by a cut. */
        bool hasLostBytes() const { return m_hasLostBytes; }

    private:
        using Buffer = std::array<char, 16 * 1024>;

        /** @return What the cut in force takes from this connection. The caller is looked up when bytes first come under it. */
        PathLoss lossToCut()
        {
            if (!m_proxy->m_cut)
                return {};
            if (m_cutNumber == m_proxy->m_cutNumber)
                return m_loss;
            m_cutNumber = m_proxy->m_cutNumber;
            return m_loss = m_proxy->m_cut(endsOf(m_caller));
        }

        bool isDropped(bool isAnswer)
        {
            if (m_isKept)
                return true;
            const PathLoss loss = lossToCut();
            if (isAnswer ? loss.m_areAnswersLost : loss.m_areRequestsLost)
                return m_hasLostBytes = true;
            return m_proxy->m_mode == ProxyMode::Silence || (isAnswer && m_proxy->m_mode == ProxyMode::SilenceAnswers);
        }

        /** Closes both connections, or only that of the caller if the other one is kept. */
        void endCaller()
        {
            if (!m_isKept)
                return reset();
            boost::system::error_code ignored;
            m_caller.close(ignored);
        }

        void read(Tcp::socket& from, Tcp::socket& to, Buffer& buffer, bool isAnswer)
        {
            from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer, isAnswer](const boost::system::error_code& error, std::size_t count) {
                if (error)
                    return isAnswer ? self->reset() : self->endCaller();
                if (self->isDropped(isAnswer))
                    return self->read(from, to, buffer, isAnswer);
                if (self->m_proxy->m_mode != ProxyMode::Delay)
                    return self->write(from, to, buffer, count, isAnswer);
                const auto timer = std::make_shared<asio::steady_timer>(self->m_proxy->m_context);
                timer->expires_after(std::chrono::milliseconds(self->m_proxy->m_delay.m_ms));
                timer->async_wait([self, timer, &from, &to, &buffer, count, isAnswer](const boost::system::error_code&) { self->write(from, to, buffer, count, isAnswer); });
            });
        }

        void write(Tcp::socket& from, Tcp::socket& to, Buffer& buffer, std::size_t count, bool isAnswer)
        {
            asio::async_write(to, asio::buffer(buffer.data(), count), [self = shared_from_this(), &from, &to, &buffer, isAnswer](const boost::system::error_code& error, std::size_t) {
                if (error && !(isAnswer && self->m_isKept))
                    return self->reset();
                self->read(from, to, buffer, isAnswer);
            });
        }

        Tcp::socket m_caller;
        Tcp::socket m_target;
        std::shared_ptr<FaultProxy::Impl> m_proxy;
        Buffer m_fromCaller {};
        Buffer m_fromTarget {};
        PathLoss m_loss; ///< What the cut numbered m_cutNumber takes.
        std::uint64_t m_cutNumber = 0;
        bool m_hasLostBytes = false;
        bool m_isKept = false; ///< Whether the caller's machine has lost power.
    };

} // namespace

void FaultProxy::Impl::accept()
{
    m_acceptor.async_accept(m_context, [self = shared_from_this()](const boost::system::error_code& error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        boost::system::error_code ignored;
        const bool isOverLimit = self->m_limit > 0 && self->m_pairs.size() >= self->m_limit;
        if (!error && self->m_mode != ProxyMode::Refuse && isOverLimit) {
            ++self->m_overLimit;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        } else if (!error && self->m_mode != ProxyMode::Refuse) {
            socket.set_option(Tcp::no_delay(true), ignored);
            const auto pair = std::make_shared<Pair>(std::move(socket), self);
            self->m_pairs.insert(pair);
            pair->start();
        }
        self->accept();
    });
}

void FaultProxy::Impl::resetAll() const
{
    const auto pairs = m_pairs;
    for (const auto& pair : pairs)
        pair->reset();
}

FaultProxy::FaultProxy(EventLoop& loop, Address listen, Address target)
    : m_impl(std::make_shared<Impl>(loop.impl().m_context, std::move(listen), std::move(target)))
{
}

FaultProxy::~FaultProxy() = default;

Expected<void> FaultProxy::listen()
{
    const Tcp::endpoint endpoint(asio::ip::make_address(m_impl->m_listen.m_host), m_impl->m_listen.m_port);
    boost::system::error_code error;
    m_impl->m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_impl->m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_impl->m_acceptor.bind(endpoint, error);
    if (!error)
        m_impl->m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return fail(ErrorKind::Unavailable, "the proxy can't listen on " + format(m_impl->m_listen) + ": " + error.message(), "end the process that uses the address");
    asio::post(m_impl->m_context, [impl = m_impl] { impl->accept(); });
    return {};
}

void FaultProxy::setMode(ProxyMode mode, Duration delay)
{
    asio::post(m_impl->m_context, [impl = m_impl, mode, delay] {
        const bool hasLostBytes = impl->m_mode == ProxyMode::Silence || impl->m_mode == ProxyMode::SilenceAnswers;
        impl->m_mode = mode;
        impl->m_delay = delay;
        if (mode == ProxyMode::Refuse || (hasLostBytes && mode == ProxyMode::Pass))
            impl->resetAll();
    });
}

void FaultProxy::setCut(PathCut cut)
{
    asio::post(m_impl->m_context, [impl = m_impl, cut = std::move(cut)] {
        impl->m_cut = cut;
        ++impl->m_cutNumber;
        const auto pairs = impl->m_pairs;
        for (const auto& pair : pairs) {
            if (!cut && pair->hasLostBytes())
                pair->reset();
        }
    });
}

void FaultProxy::setConnectionLimit(std::size_t limit)
{
    asio::post(m_impl->m_context, [impl = m_impl, limit] { impl->m_limit = limit; });
}

void FaultProxy::keepConnections(std::function<bool(const ConnectionEnds&)> isCaller, std::function<void(std::size_t)> onKept)
{
    asio::post(m_impl->m_context, [impl = m_impl, isCaller = std::move(isCaller), onKept = std::move(onKept)] {
        std::size_t kept = 0;
        for (const auto& pair : impl->m_pairs)
            kept += pair->keepIf(isCaller) ? 1 : 0;
        onKept(kept);
    });
}

std::uint64_t FaultProxy::countOverLimit() const
{
    return m_impl->m_overLimit;
}

void FaultProxy::resetConnections()
{
    asio::post(m_impl->m_context, [impl = m_impl] { impl->resetAll(); });
}

} // namespace bulrushloft::soak

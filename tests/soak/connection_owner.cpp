/** @file connection_owner.cpp Look-up of a connection's owner: its inode from the kernel's socket diagnostics, the process from /proc. */
#include "connection_owner.h"

#include <cstring>
#include <filesystem>
#include <string>

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bulrushloft::soak {

namespace {

    struct DiagRequest {
        nlmsghdr m_header;
        inet_diag_req_v2 m_body;
    };

    struct DiagAnswer {
        nlmsghdr m_header;
        inet_diag_msg m_body;
    };

    /** Asks for one connection; reading the whole table in /proc/net/tcp misses entries while others change it. @return Inode of the calling socket, 0 if there is none. */
    std::uint32_t findInode(const ConnectionEnds& ends)
    {
        constexpr std::size_t maxAnswerBytes = 4'096;
        constexpr std::uint32_t anyState = 0xffff'ffff;
        DiagRequest request {};
        request.m_header = { .nlmsg_len = sizeof(request), .nlmsg_type = SOCK_DIAG_BY_FAMILY, .nlmsg_flags = NLM_F_REQUEST, .nlmsg_seq = 1, .nlmsg_pid = 0 };
        request.m_body.sdiag_family = AF_INET;
        request.m_body.sdiag_protocol = IPPROTO_TCP;
        request.m_body.idiag_states = anyState;
        request.m_body.id.idiag_sport = ends.m_callerPort;
        request.m_body.id.idiag_dport = ends.m_calledPort;
        request.m_body.id.idiag_src[0] = ends.m_callerAddress;
        request.m_body.id.idiag_dst[0] = ends.m_calledAddress;
        request.m_body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
        request.m_body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
        const int diagnostics = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
        if (diagnostics < 0)
            return 0;
        char bytes[maxAnswerBytes];
        ssize_t count = 0;
        if (send(diagnostics, &request, sizeof(request), 0) == static_cast<ssize_t>(sizeof(request)))
            count = recv(diagnostics, bytes, sizeof(bytes), 0);
        close(diagnostics);
        DiagAnswer answer {};
        if (count < static_cast<ssize_t>(sizeof(answer)))
            return 0;
        std::memcpy(&answer, bytes, sizeof(answer));
        return answer.m_header.nlmsg_type == SOCK_DIAG_BY_FAMILY ? answer.m_body.idiag_inode : 0;
    }

    bool hasOpen(pid_t process, const std::string& file)
    {
        std::error_code error;
        const std::filesystem::path directory = "/proc/" + std::to_string(process) + "/fd";
        for (std::filesystem::directory_iterator entry(directory, error), end; !error && entry != end; entry.increment(error)) {
            std::error_code closed; // A file that is closed meanwhile does not match.
            if (std::filesystem::read_symlink(entry->path(), closed) == file)
                return true;
        }
        return false;
    }

} // namespace

std::optional<std::size_t> findConnectionOwner(const ConnectionEnds& ends, const std::vector<pid_t>& processes)
{
    const std::uint32_t inode = findInode(ends);
    if (inode == 0)
        return std::nullopt;
    for (std::size_t i = 0; i < processes.size(); ++i) {
        if (processes[i] > 0 && hasOpen(processes[i], "socket:[" + std::to_string(inode) + "]"))
            return i;
    }
    return std::nullopt;
}

} // namespace bulrushloft::soak

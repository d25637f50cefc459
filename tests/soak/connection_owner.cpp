/** @file connection_owner.cpp Look-up of a connection's owner in /proc. */
#include "connection_owner.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace bulrushloft::soak {

namespace {

    /** @return Inode of the socket with a local endpoint; empty when there is none. */
    std::string findInode(const CallerEndpoint& local)
    {
        constexpr int fieldsToInode = 7; // Remote address, state, queues, timer, retransmissions, user and timeout.
        char wanted[14];
        std::snprintf(wanted, sizeof(wanted), "%08X:%04X", local.m_address, static_cast<unsigned>(local.m_port));
        std::ifstream table("/proc/net/tcp");
        for (std::string line; std::getline(table, line);) {
            std::istringstream fields(line);
            std::string field;
            fields >> field >> field;
            if (field != wanted)
                continue;
            for (int i = 0; i < fieldsToInode; ++i)
                fields >> field;
            fields >> field;
            return field;
        }
        return {};
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

std::optional<std::size_t> findConnectionOwner(const CallerEndpoint& caller, const std::vector<pid_t>& processes)
{
    const std::string inode = findInode(caller);
    if (inode.empty() || inode == "0")
        return std::nullopt;
    for (std::size_t i = 0; i < processes.size(); ++i) {
        if (processes[i] > 0 && hasOpen(processes[i], "socket:[" + inode + "]"))
            return i;
    }
    return std::nullopt;
}

} // namespace bulrushloft::soak

/** @file process_status.h Memory and descriptors of a running process, as the system counts them. */
#pragma once

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <string>

#include <sys/types.h>

namespace bulrushloft::soak {

/** @param field Name in /proc/PID/status, such as VmRSS. @return Its value in kB; 0 if there is none. */
inline std::size_t readStatus(pid_t process, const std::string& field)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":"))
            return std::stoul(line.substr(field.size() + 1));
    }
    return 0;
}

/** @return Number of open descriptors. */
inline std::size_t countDescriptors(pid_t process)
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", error); !error && entry != std::filesystem::directory_iterator(); entry.increment(error))
        ++count;
    return count;
}

} // namespace bulrushloft::soak

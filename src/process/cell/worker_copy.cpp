/** @file worker_copy.cpp Encoding of copies of workers' announcements as CBOR. */
#include "process/cell/worker_copy.h"

#include "core/cbor.h"

namespace bulrushloft::cell {

using Json = nlohmann::json;

namespace {

    constexpr int copyFormat = 1;

} // namespace

std::string encodeWorkerCopy(const WorkerAnnouncement& announcement)
{
    const Resources& capacity = announcement.m_capacity;
    const Json row = Json::array({ copyFormat, announcement.m_pool, announcement.m_address.m_host, announcement.m_address.m_port, announcement.m_zone, announcement.m_machine, capacity.m_cpuMilli, capacity.m_memoryMb, capacity.m_gpus, announcement.m_labels, announcement.m_isDraining });
    const std::vector<std::uint8_t> bytes = Json::to_cbor(row);
    return { bytes.begin(), bytes.end() };
}

Expected<WorkerAnnouncement> decodeWorkerCopy(const std::string& id, const std::string& record)
{
    try {
        const Json row = decodeCbor(record);
        if (row.at(0) != copyFormat)
            return fail(ErrorKind::InvalidInput, "the copy of a worker's announcement has the unsupported format version " + row.at(0).dump(), "run the same release on all daemons");
        return WorkerAnnouncement { .m_id = id,
            .m_pool = row.at(1),
            .m_address = { .m_host = row.at(2), .m_port = row.at(3) },
            .m_zone = row.at(4),
            .m_machine = row.at(5),
            .m_capacity = { .m_cpuMilli = row.at(6), .m_memoryMb = row.at(7), .m_gpus = row.at(8) },
            .m_labels = row.at(9),
            .m_isDraining = row.at(10),
            .m_remainingDrainTime = {},
            .m_processStartMs = 0 };
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the copy of a worker's announcement can't be decoded: ") + error.what(), "check whether another program writes to the topic");
    }
}

} // namespace bulrushloft::cell

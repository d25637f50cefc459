/** @file journal_codec.cpp Encoding of journal entries as CBOR. */
#include "process/journal/journal_func.h"

#include "process/journal/codec_enum.h"
#include "process/journal/codec_func.h"

#include <unordered_map>

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    constexpr unsigned formatVersion = 1;
    constexpr unsigned taskResultCount = 6;
    constexpr unsigned requestStateCount = 5;

    Json encodeRef(const TaskRef& ref)
    {
        return Json::array({ ref.m_job.m_value, ref.m_task, ref.m_attempt });
    }

    TaskRef decodeRef(const Json& row)
    {
        return { .m_job = JobNumber { row.at(0).get<std::uint64_t>() }, .m_task = row.at(1), .m_attempt = row.at(2) };
    }

    Json encodeBody(const ClaimRecord& record)
    {
        return Json::array({ record.m_member, record.m_address.m_host, record.m_address.m_port, record.m_supersedes.m_value });
    }

    Json encodeBody(const ReleaseRecord&)
    {
        return Json::array();
    }

    Json encodeBody(const AcceptJobRecord& record)
    {
        return encodeSpec(record.m_spec);
    }

    /** Each worker name is stored once per record, and placements refer to it by index. */
    Json encodeBody(const PlaceRecord& record)
    {
        Json names = Json::array();
        Json rows = Json::array();
        std::unordered_map<std::string, std::size_t> indexes;
        for (const TaskPlacement& placement : record.m_placements) {
            const auto [found, isNew] = indexes.try_emplace(placement.m_worker, indexes.size());
            if (isNew)
                names.push_back(placement.m_worker);
            const TaskRef& ref = placement.m_ref;
            const Resources& grant = placement.m_grant;
            rows.push_back(Json::array({ ref.m_job.m_value, ref.m_task, ref.m_attempt, found->second, grant.m_cpuMilli, grant.m_memoryMb, grant.m_gpus }));
        }
        return Json::array({ std::move(names), std::move(rows) });
    }

    Json encodeBody(const OutcomeRecord& record)
    {
        Json rows = Json::array();
        for (const TaskOutcome& outcome : record.m_outcomes)
            rows.push_back(Json::array({ encodeRef(outcome.m_ref), static_cast<unsigned>(outcome.m_result), encodeUsage(outcome.m_usage) }));
        return Json::array({ record.m_mayHaveUnjournaledStarts, std::move(rows) });
    }

    Json encodeBody(const CancelJobRecord& record)
    {
        return Json::array({ record.m_job.m_value, record.m_mayHaveUnjournaledStarts });
    }

    Json encodeBody(const IntendRequestRecord& record)
    {
        return Json::array({ record.m_key, record.m_digest, record.m_runner, record.m_dispatch });
    }

    Json encodeBody(const FinishRequestRecord& record)
    {
        return Json::array({ record.m_key, static_cast<unsigned>(record.m_state) });
    }

    Json encodeBody(const ExpireRecord& record)
    {
        return Json::array({ record.m_jobsEndedBefore.m_ms, record.m_requestsEndedBefore.m_ms });
    }

    Json encodeBody(const KeepaliveRecord&)
    {
        return Json::array();
    }

    Json encodeBody(const FencedRecord&)
    {
        return Json::array();
    }

    ClaimRecord decodeClaim(const Json& body)
    {
        ClaimRecord record;
        record.m_member = body.at(0);
        record.m_address.m_host = body.at(1);
        record.m_address.m_port = body.at(2);
        record.m_supersedes.m_value = body.at(3);
        return record;
    }

    PlaceRecord decodePlace(const Json& body)
    {
        const auto names = body.at(0).get<std::vector<std::string>>();
        PlaceRecord record;
        for (const Json& row : body.at(1)) {
            TaskPlacement placement;
            placement.m_ref = decodeRef(row);
            placement.m_worker = names.at(row.at(3).get<std::size_t>());
            placement.m_grant = { .m_cpuMilli = row.at(4), .m_memoryMb = row.at(5), .m_gpus = row.at(6) };
            record.m_placements.push_back(std::move(placement));
        }
        return record;
    }

    OutcomeRecord decodeOutcomes(const Json& body)
    {
        OutcomeRecord record { .m_mayHaveUnjournaledStarts = body.at(0) };
        for (const Json& row : body.at(1))
            record.m_outcomes.push_back({ .m_ref = decodeRef(row.at(0)), .m_result = decodeEnum<TaskResult>(row.at(1), taskResultCount), .m_usage = decodeUsage(row.at(2)) });
        return record;
    }

    /** The first element of an encoded record is its index in the Record variant. */
    Record decodeRecord(const Json& row)
    {
        const Json& body = row.at(1);
        switch (row.at(0).get<unsigned>()) {
        case 0:
            return decodeClaim(body);
        case 1:
            return ReleaseRecord {};
        case 2:
            return AcceptJobRecord { decodeSpec(body) };
        case 3:
            return decodePlace(body);
        case 4:
            return decodeOutcomes(body);
        case 5:
            return CancelJobRecord { .m_job = { body.at(0).get<std::uint64_t>() }, .m_mayHaveUnjournaledStarts = body.at(1) };
        case 6:
            return IntendRequestRecord { .m_key = body.at(0), .m_digest = body.at(1), .m_runner = body.at(2), .m_dispatch = body.at(3) };
        case 7:
            return FinishRequestRecord { .m_key = body.at(0), .m_state = decodeEnum<RequestState>(body.at(1), requestStateCount) };
        case 8:
            return ExpireRecord { .m_jobsEndedBefore = { body.at(0) }, .m_requestsEndedBefore = { body.at(1) } };
        case 9:
            return FencedRecord {};
        case 10:
            return KeepaliveRecord {};
        default:
            throw std::out_of_range("unknown kind of journal record");
        }
    }

} // namespace

std::string encodeEntry(const JournalEntry& entry)
{
    Json records = Json::array();
    for (const Record& record : entry.m_records)
        records.push_back(Json::array({ record.index(), std::visit([](const auto& body) { return encodeBody(body); }, record) }));
    const Json root = Json::array({ formatVersion, entry.m_epoch.m_value, entry.m_writer.m_value, entry.m_sequence, entry.m_wall.m_ms, std::move(records) });
    std::string bytes;
    Json::to_cbor(root, bytes);
    return bytes;
}

Expected<JournalEntry> decodeEntry(std::string_view bytes)
{
    try {
        const Json root = Json::from_cbor(bytes);
        if (root.at(0).get<unsigned>() != formatVersion)
            return fail(ErrorKind::InvalidInput, "unsupported journal entry format version " + root.at(0).dump(), "run the release that wrote the entry");
        JournalEntry entry;
        entry.m_epoch.m_value = root.at(1);
        entry.m_writer.m_value = root.at(2);
        entry.m_sequence = root.at(3);
        entry.m_wall.m_ms = root.at(4);
        for (const Json& row : root.at(5))
            entry.m_records.push_back(decodeRecord(row));
        return entry;
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the journal entry can't be decoded: ") + error.what(), "the entry is skipped; check whether another program writes to the stream");
    }
}

} // namespace bulrushloft

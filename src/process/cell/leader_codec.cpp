/** @file leader_codec.cpp Encoding of the records of the leader topic as CBOR. */
#include "process/cell/leader_codec.h"

#include "connection/member_codec.h"
#include "core/cbor.h"

#include <stdexcept>

namespace bulrushloft::cell {

using Json = nlohmann::json;

namespace {

    constexpr std::size_t journalElement = 5; ///< Position of the term and the partitions; the elements before it are the member's.

} // namespace

std::string encodeClaim(const PeerMember& member, const JournalPointer& journal)
{
    Json row = memberToJson(member);
    row.push_back(journal.m_term);
    row.push_back(journal.m_partitions);
    const std::vector<std::uint8_t> bytes = Json::to_cbor(row);
    return { bytes.begin(), bytes.end() };
}

std::optional<LeaderRecord> decodeClaim(const std::string& bytes)
{
    try {
        const Json row = decodeCbor(bytes);
        LeaderRecord record { .m_member = memberFromJson(row), .m_journal = {} };
        if (row.size() <= journalElement)
            return record;
        record.m_journal = { .m_term = row.at(journalElement), .m_partitions = row.at(journalElement + 1) };
        if (record.m_journal.m_partitions.empty())
            throw std::out_of_range("no partition is named");
        return record;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace bulrushloft::cell

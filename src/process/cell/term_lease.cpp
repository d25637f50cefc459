/** @file term_lease.cpp Bounds of a term and the evidence that they rest on. */
#include "process/cell/term_lease.h"

#include "core/cbor.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bulrushloft::cell {

using Json = nlohmann::json;

namespace {

    constexpr int listFormat = 1;
    constexpr char addressSeparator = '@';

    /** @return The earliest of the latest answers of all listed members; zero while one has not answered, or no list is stored. */
    TimePoint allMembersAskedAt(const TermEvidence& evidence)
    {
        if (!evidence.m_isListStored)
            return {};
        TimePoint earliest = farFuture;
        for (const auto& [id, askedAt] : evidence.m_memberAskedAt) // A list of this VM alone has nobody to ask: each other VM waits for m_outageLimit.
            earliest = std::min(earliest, askedAt);
        return earliest;
    }

    /** @return The time on this VM's clock that surely covers a time on another one's, which may run slow against it. */
    Duration stretched(Duration time, const TermLeaseOptions& options)
    {
        return { static_cast<std::int64_t>(std::ceil(static_cast<double>(time.m_ms) / (1.0 - options.m_clockDrift))) };
    }

    /** @return The time on this VM's clock that has surely passed in a time on another one's, which may run fast against it. */
    Duration shortened(Duration time, const TermLeaseOptions& options)
    {
        return { static_cast<std::int64_t>(static_cast<double>(time.m_ms) * (1.0 - options.m_clockDrift)) };
    }

} // namespace

std::string memberIdOf(const PeerMember& member)
{
    return member.m_name + addressSeparator + format(member.m_address);
}

std::optional<Address> addressOfMember(const std::string& id)
{
    const std::size_t host = id.rfind(addressSeparator);
    const std::size_t port = id.rfind(':');
    if (host == std::string::npos || port == std::string::npos || port < host)
        return std::nullopt;
    Address address { .m_host = id.substr(host + 1, port - host - 1), .m_port = 0 };
    const char* const end = id.data() + id.size();
    const auto [read, error] = std::from_chars(id.data() + port + 1, end, address.m_port);
    return error == std::errc() && read == end ? std::optional(address) : std::nullopt;
}

std::string encodeMemberList(const MemberList& list)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(Json::array({ listFormat, list.m_settledTerm, list.m_members }));
    return { bytes.begin(), bytes.end() };
}

Expected<MemberList> decodeMemberList(const std::string& record)
{
    try {
        const Json root = decodeCbor(record);
        if (root.at(0) != listFormat)
            return fail(ErrorKind::InvalidInput, "the list of members has the unsupported format version " + root.at(0).dump(), "run the same release on all daemons");
        return MemberList { .m_settledTerm = root.at(1).get<std::uint64_t>(), .m_members = root.at(2).get<std::vector<std::string>>() };
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the list of members can't be decoded: ") + error.what(), "check whether another program writes to the topic");
    }
}

bool isListed(const MemberList& list, const std::string& id)
{
    return std::binary_search(list.m_members.begin(), list.m_members.end(), id);
}

void noteStoreAnswer(TermEvidence& evidence, TimePoint askedAt)
{
    evidence.m_storeAskedAt = std::max(evidence.m_storeAskedAt, askedAt);
}

void noteAppendSent(TermEvidence& evidence, std::uint64_t sequence, TimePoint now)
{
    evidence.m_appendedAt.try_emplace(sequence, now);
}

void noteAppendConfirmed(TermEvidence& evidence, std::uint64_t sequence)
{
    const auto found = evidence.m_appendedAt.find(sequence);
    if (found == evidence.m_appendedAt.end())
        return;
    noteStoreAnswer(evidence, found->second);
    evidence.m_appendedAt.erase(evidence.m_appendedAt.begin(), std::next(found));
}

void noteMemberAnswer(TermEvidence& evidence, const std::string& id, TimePoint askedAt)
{
    if (const auto found = evidence.m_memberAskedAt.find(id); found != evidence.m_memberAskedAt.end())
        found->second = std::max(found->second, askedAt);
}

TimePoint provenAt(const TermEvidence& evidence, const TermLeaseOptions& options)
{
    const TimePoint latestByMembers = evidence.m_storeAskedAt + (options.m_outageLimit - options.m_renewalLimit);
    return std::max(evidence.m_storeAskedAt, std::min(allMembersAskedAt(evidence), latestByMembers));
}

bool mayRenewLeases(const TermEvidence& evidence, const TermLeaseOptions& options, TimePoint now)
{
    if (now - evidence.m_storeAskedAt <= options.m_renewalLimit)
        return true;
    return now - provenAt(evidence, options) <= options.m_renewalLimit;
}

bool isStoreEvidenceOld(const TermEvidence& evidence, const TermLeaseOptions& options, TimePoint now)
{
    return now - evidence.m_storeAskedAt > options.m_renewalLimit / 2;
}

std::optional<TimePoint> earlierStopShownBy(Duration knownFor, TimePoint now, const TermLeaseOptions& options)
{
    const Duration surplus = shortened(knownFor, options) - stretched(options.m_renewalLimit, options);
    return surplus.m_ms >= 0 ? std::optional(now - surplus) : std::nullopt;
}

Duration earlierRenewalBound(const std::optional<MemberList>& list, const PeerMember& self, const TermLeaseOptions& options)
{
    const bool wasAsked = !list || isListed(*list, memberIdOf(self));
    return stretched(wasAsked ? options.m_renewalLimit : options.m_outageLimit, options);
}

} // namespace bulrushloft::cell

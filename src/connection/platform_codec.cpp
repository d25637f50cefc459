/** @file platform_codec.cpp Encoding of the log and VM list protocols as JSON and CBOR. */
#include "connection/platform_codec.h"

#include "connection/json_func.h"
#include "table/vm_table.h"

namespace bulrushloft {

using Json = nlohmann::json;

std::string_view nameOf(VmRole role) { return findName(vmRoleNames, role); }
std::string_view nameOf(VmState state) { return findName(vmStateNames, state); }

namespace {

    template <typename Enum, std::size_t Size>
    Enum decodeEnumName(const std::array<EnumName<Enum>, Size>& table, const Json& name)
    {
        const auto value = findValue(table, name.get<std::string>());
        if (!value)
            throw std::out_of_range("unknown name " + name.dump());
        return *value;
    }

    Json encodeVm(const VmInfo& vm)
    {
        return { { "name", vm.m_name }, { "role", nameOf(vm.m_role) }, { "state", nameOf(vm.m_state) }, { "pool", vm.m_pool },
            { "zone", vm.m_zone }, { "rack", vm.m_rack }, { "address", format(vm.m_address) }, { "capacity", toJson(vm.m_capacity) },
            { "slots", vm.m_slots }, { "connections", vm.m_connections } };
    }

    VmInfo decodeVm(const Json& row)
    {
        VmInfo vm;
        vm.m_name = row.at("name");
        vm.m_role = decodeEnumName(vmRoleNames, row.at("role"));
        vm.m_state = decodeEnumName(vmStateNames, row.at("state"));
        vm.m_pool = row.at("pool");
        vm.m_zone = row.at("zone");
        vm.m_rack = row.at("rack");
        const auto address = parseAddress(row.at("address").get<std::string>());
        if (!address)
            throw std::out_of_range(address.error().m_message);
        vm.m_address = *address;
        vm.m_capacity = resourcesFromJson(row.at("capacity"));
        vm.m_slots = row.at("slots");
        vm.m_connections = row.at("connections");
        return vm;
    }

} // namespace

std::string appendTarget(const std::string& stream)
{
    return "/v1/streams/" + stream + "/append";
}

std::string readTarget(const std::string& stream, Offset from, std::size_t limitBytes, Duration waitFor)
{
    return "/v1/streams/" + stream + "/read?from=" + std::to_string(from.m_value) + "&limit=" + std::to_string(limitBytes)
        + "&wait_ms=" + std::to_string(waitFor.m_ms);
}

std::string encodeAppendAnswer(const LogAppendAnswer& answer)
{
    return dumpJson({ { "offset", answer.m_offset.m_value }, { "time_ms", answer.m_time.m_ms } });
}

Expected<LogAppendAnswer> decodeAppendAnswer(std::string_view text)
{
    return readJson(text, "the log's answer to an append", [](const Json& root) {
        return LogAppendAnswer { .m_offset = { root.at("offset").get<std::uint64_t>() }, .m_time = { root.at("time_ms") } };
    });
}

std::string encodeReadAnswer(const LogReadAnswer& answer)
{
    Json entries = Json::array();
    for (const LogEntry& entry : answer.m_entries) {
        auto bytes = Json::binary(std::vector<std::uint8_t>(entry.m_bytes.begin(), entry.m_bytes.end()));
        entries.push_back(Json::array({ entry.m_offset.m_value, entry.m_time.m_ms, std::move(bytes) }));
    }
    std::string text;
    Json::to_cbor(Json::array({ answer.m_oldest.m_value, answer.m_end.m_value, answer.m_now.m_ms, std::move(entries) }), text);
    return text;
}

Expected<LogReadAnswer> decodeReadAnswer(std::string_view bytes)
{
    try {
        const Json root = Json::from_cbor(bytes);
        LogReadAnswer answer;
        answer.m_oldest.m_value = root.at(0);
        answer.m_end.m_value = root.at(1);
        answer.m_now.m_ms = root.at(2);
        for (const Json& row : root.at(3)) {
            const Json::binary_t& content = row.at(2).get_binary();
            answer.m_entries.push_back({ .m_offset = { row.at(0).get<std::uint64_t>() }, .m_time = { row.at(1) }, .m_bytes = std::string(content.begin(), content.end()) });
        }
        return answer;
    } catch (const std::exception& error) {
        return fail(ErrorKind::BrokenAnswer, std::string("malformed answer to a read from the log: ") + error.what(), "no action is needed; the read is retried");
    }
}

std::string encodeVmList(const VmList& list)
{
    Json vms = Json::array();
    for (const VmInfo& vm : list.m_vms)
        vms.push_back(encodeVm(vm));
    return dumpJson({ { "version", list.m_version }, { "vms", std::move(vms) } });
}

Expected<VmList> decodeVmList(std::string_view text)
{
    return readJson(text, "the list of VMs", [](const Json& root) {
        VmList list { .m_version = root.at("version"), .m_vms = {} };
        for (const Json& row : root.at("vms"))
            list.m_vms.push_back(decodeVm(row));
        return list;
    });
}

} // namespace bulrushloft

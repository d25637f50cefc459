/** @file learned_record.cpp Encoding of learned run times and worker speeds as CBOR. */
#include "process/scheduler/learned_record.h"

#include "core/cbor.h"

#include <algorithm>
#include <cmath>

namespace bulrushloft::scheduler {

using Json = nlohmann::json;

namespace {

    constexpr int recordFormat = 1;
    constexpr Duration recordInterval { 3'000 };
    constexpr std::uint32_t maxRestoredSamples = 20; ///< Restored values weigh as much as this many samples, so that they can still change.

    std::uint32_t countSamples(const Scheduler& scheduler)
    {
        std::uint32_t samples = 0;
        for (const auto& [queue, model] : scheduler.m_runTimes)
            samples += model.m_samples;
        return samples;
    }

    /** @return The number. @throws std::out_of_range if it is not finite. */
    double readFinite(const Json& value)
    {
        const auto number = value.get<double>();
        if (!std::isfinite(number))
            throw std::out_of_range("a number is not finite");
        return number;
    }

    RunTimeModel modelFromJson(const Json& row)
    {
        return { .m_mean = readFinite(row.at(1)), .m_variance = readFinite(row.at(2)), .m_bias = readFinite(row.at(3)), .m_errorVariance = readFinite(row.at(4)), .m_samples = std::min(row.at(5).get<std::uint32_t>(), maxRestoredSamples) };
    }

    void restoreSpeed(Scheduler& scheduler, const Json& row)
    {
        scheduler.m_restoredSpeeds[row.at(0)] = { .m_logSlowdown = readFinite(row.at(1)), .m_samples = std::min(row.at(2).get<std::uint32_t>(), maxRestoredSamples) };
    }

} // namespace

std::optional<KeyedRecord> takeLearnedRecord(Scheduler& scheduler, TimePoint now)
{
    const std::uint32_t samples = countSamples(scheduler);
    if (now - scheduler.m_learnedRecordedAt < recordInterval || samples == scheduler.m_learnedSamples)
        return std::nullopt;
    scheduler.m_learnedRecordedAt = now;
    scheduler.m_learnedSamples = samples;
    return makeLearnedRecord(scheduler);
}

KeyedRecord makeLearnedRecord(const Scheduler& scheduler)
{
    Json models = Json::array();
    for (const auto& [queue, model] : scheduler.m_runTimes)
        models.push_back(Json::array({ queue, model.m_mean, model.m_variance, model.m_bias, model.m_errorVariance, model.m_samples }));
    Json speeds = Json::array();
    for (const Worker& worker : scheduler.m_workers) {
        if (worker.m_isAnnounced && worker.m_health.m_samples > 0)
            speeds.push_back(Json::array({ worker.m_announcement.m_id, static_cast<float>(worker.m_health.m_logSlowdown), worker.m_health.m_samples }));
    }
    const std::vector<std::uint8_t> bytes = Json::to_cbor(Json::array({ recordFormat, std::move(models), std::move(speeds) }));
    return { .m_key = learnedKey, .m_value = { bytes.begin(), bytes.end() } };
}

Expected<void> restoreLearned(Scheduler& scheduler, const std::string& record)
{
    try {
        const Json root = decodeCbor(record);
        if (root.at(0) != recordFormat)
            return fail(ErrorKind::InvalidInput, "the record of learned run times has the unsupported format version " + root.at(0).dump(), "run the same release on all daemons");
        for (const Json& row : root.at(1))
            scheduler.m_runTimes[row.at(0)] = modelFromJson(row);
        for (const Json& row : root.at(2))
            restoreSpeed(scheduler, row);
        scheduler.m_learnedSamples = countSamples(scheduler);
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the record of learned run times can't be decoded: ") + error.what(), "check whether another program writes to the topic");
    }
    return {};
}

} // namespace bulrushloft::scheduler

/** @file request_answer.h Answers to the callers of requests. */
#pragma once

#include "process/owner/owner_base.h"

#include <optional>
#include <string>

namespace bulrushloft::detail {

/** @return An answer without a result. @param remedy What the caller can do. */
RunAnswer makeErrorAnswer(RunOutcome outcome, ErrorKind kind, std::string message, std::string remedy);

/** @return The answer for a key whose request has ended according to its record; empty when the request may be run. */
std::optional<RunAnswer> answerFromRecord(const RequestRecord& record);

/** @return The answer for a request that has not run. */
RunAnswer notRunAnswer(ErrorKind kind, std::string message);

/** @return The answer for a request that may have run, as the runner's answer was lost. */
RunAnswer lostAnswer();

/** @return The answer for a request that a runner has answered. @param runner Name of the runner. */
RunAnswer toRunAnswer(const DispatchAnswer& answer, const std::string& runner);

} // namespace bulrushloft::detail

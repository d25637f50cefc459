/** @file request_answer.cpp Answers to the callers of requests. */
#include "process/owner/request_answer.h"

namespace bulrushloft::detail {

namespace {

    constexpr unsigned firstFailureStatus = 400; // HTTP status

} // namespace

RunAnswer makeErrorAnswer(RunOutcome outcome, ErrorKind kind, std::string message, std::string remedy)
{
    RunAnswer answer;
    answer.m_outcome = outcome;
    answer.m_error = { .m_kind = kind, .m_message = std::move(message), .m_remedy = std::move(remedy) };
    return answer;
}

std::optional<RunAnswer> answerFromRecord(const RequestRecord& record)
{
    switch (record.m_state) {
    case RequestState::Intended:
    case RequestState::NotRun:
        return std::nullopt;
    case RequestState::Done:
        return makeErrorAnswer(RunOutcome::AnswerLost, ErrorKind::BrokenAnswer, "the request ran to completion, but its answer is not available", "get the result from the service; the request will not run again under this key");
    case RequestState::Failed:
        return makeErrorAnswer(RunOutcome::Failed, ErrorKind::BrokenAnswer, "the request ran and failed, but the answer of the service is not available", "use a new key to run the request again");
    case RequestState::Unknown:
        return makeErrorAnswer(RunOutcome::Unknown, ErrorKind::Unavailable, "contact with the runner was lost, so it is unknown whether the request ran", "check with the service whether it ran; the request will not run again under this key");
    }
    return std::nullopt;
}

RunAnswer notRunAnswer(ErrorKind kind, std::string message)
{
    return makeErrorAnswer(RunOutcome::NotRun, kind, std::move(message), "retry with the same key");
}

RunAnswer lostAnswer()
{
    return makeErrorAnswer(RunOutcome::Unknown, ErrorKind::Unavailable, "the answer of the runner was lost", "retry with the same key");
}

RunAnswer toRunAnswer(const DispatchAnswer& answer, const std::string& runner)
{
    RunAnswer runAnswer;
    runAnswer.m_outcome = answer.m_status < firstFailureStatus ? RunOutcome::Done : RunOutcome::Failed;
    runAnswer.m_serviceStatus = answer.m_status;
    runAnswer.m_body = answer.m_body;
    runAnswer.m_runner = runner;
    return runAnswer;
}

} // namespace bulrushloft::detail

/** @file load_func.h The parts of a load run and their report. */
#pragma once

#include "connection/caller_client.h"
#include "load/load_type.h"

namespace bulrushloft {

/** Sends requests until the time is over; every answer is checked against what was sent. */
void sendRequests(const LoadOptions& options, CallerClient& client, LoadResults& results);

/** Submits a service, a batch, a gang and urgent tasks, and waits for them. */
void submitJobs(const LoadOptions& options, CallerClient& client, LoadResults& results);

/** Lets two operators change one subtree at once, several times. */
void runSettingsRaces(const LoadOptions& options, CallerClient& client, EventLoop& loop, LoadResults& results);

/**
 * Prints what came of the run.
 * @return Whether every answer is accounted for and right.
 */
bool reportResults(const LoadOptions& options, const LoadResults& results);

/** Prints waiting times, packing and control cost as the daemons' metrics show them. */
void reportMetrics(const LoadOptions& options, HttpClient& client);

/**
 * Compares what callers were told with what the stand-in's endpoints really ran.
 * @param address Where the stand-in tells its history.
 * @return Whether the two agree.
 */
bool checkHistory(const LoadResults& results, HttpClient& client, const Address& address);

} // namespace bulrushloft

/** @file load_func.h Phases and report of a load test. */
#pragma once

#include "connection/caller_client.h"
#include "load/load_type.h"

namespace bulrushloft {

/** Sends requests from all callers for the duration of the test and checks every answer against its request. */
void sendRequests(const LoadOptions& options, CallerClient& client, LoadResults& results);

/** Submits a service, a batch, a gang and a series of urgent jobs, and waits until each is in its expected state, has ended or has timed out. */
void submitJobs(const LoadOptions& options, CallerClient& client, LoadResults& results);

/** Repeatedly publishes two concurrent changes to one subtree of the settings, until the duration of the test has passed. */
void runSettingsRaces(const LoadOptions& options, CallerClient& client, EventLoop& loop, LoadResults& results);

/**
 * Prints the results of the requests, jobs and settings races.
 * @return Whether there was at least one of each, no answer was wrong, every job was as expected, and every race had at most one accepted change, which came into force on every daemon in time.
 */
bool reportResults(const LoadOptions& options, const LoadResults& results);

/** Prints the waiting times, pool utilisation and control cost that the daemons report in their metrics. */
void reportMetrics(const LoadOptions& options, HttpClient& client);

/**
 * Compares the answers that callers received with the runs that the fake platform's workers and runners recorded, and prints the number of faults and the first few of them.
 * @param address Address of the fake platform, which serves its history over HTTP.
 * @return Whether answers and runs agree and the history has no exceeded limits and no overlapping runs.
 */
bool checkHistory(const LoadResults& results, HttpClient& client, const Address& address);

} // namespace bulrushloft

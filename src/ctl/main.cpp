/** @file main.cpp bulrushctl: command-line tool for callers and operators. */
#include "connection/caller_client.h"
#include "connection/json_rpc_client.h"
#include "connection/json_rpc_server.h"
#include "core/event_loop.h"
#include "ctl/config_command.h"
#include "ctl/output.h"
#include "request/job_func.h"
#include "table/caller_table.h"
#include "table/job_table.h"
#include "version/settings_func.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <gflags/gflags.h>

DEFINE_string(entries, "127.0.0.1:7400", "Addresses of entry VMs, as IP:PORT separated by commas; tried in turn until one answers");
DEFINE_bool(json, false, "Print JSON instead of text and tables");
DEFINE_string(team, "", "Team to charge; for list and cancel-all, only jobs of this team");
DEFINE_string(pool, "", "Pool of workers or runners; for list and cancel-all, only jobs of this pool");
DEFINE_string(work_class, "standard", "Work class, as defined in the settings");
DEFINE_string(name, "", "Name of the program; for list and cancel-all, only jobs with this name");
DEFINE_string(kind, "batch", "Kind of the job: service, batch or gang");
DEFINE_string(state, "", "For list and cancel-all, only jobs in this state");
DEFINE_string(key, "", "Idempotency key; empty to generate a new one");
DEFINE_int32(tasks, 1, "Number of tasks of the job");
DEFINE_int64(cpu_milli, 1000, "CPU of one task, in thousandths of a core");
DEFINE_int64(memory_mb, 256, "Memory of one task, in MiB");
DEFINE_int64(gpus, 0, "GPUs of one task");
DEFINE_int64(run_time_ms, 0, "Declared run time of one task in ms; 0 if unknown");
DEFINE_bool(idempotent, false, "Allow the work to run again when an earlier attempt may have run");
DEFINE_string(payload, "", "Payload that is passed to the worker uninterpreted");
DEFINE_string(target, "", "Operation that the runner is asked to perform");
DEFINE_string(body, "", "Body of the request; @FILE reads it from a file");
DEFINE_int32(attempt, 1, "Attempt number; more than 1 for a retry, with the --key of an earlier run command");
DEFINE_int64(deadline_ms, 30000, "Time limit of a run command in ms");
DEFINE_int64(wait_ms, 30000, "Maximum wait of a wait command in ms");
DEFINE_string(until, "ended", "State that a wait command waits for: started or ended");
DEFINE_string(operator_name, "", "Name of the operator who changes the settings");
DEFINE_string(file, "", "YAML file with a subtree of the settings; for settings load, with the whole tree");
DEFINE_string(against, "", "For config check, a JSON file with the version in force; its differences are printed");
DEFINE_int64(base, -1, "Base revision of the change; -1 for the revision in force");
DEFINE_int32(limit, 50, "Maximum number of rows, newest first; the list command applies it to each shard");

namespace bulrushloft {

namespace {

    constexpr const char* usage = R"(bulrushctl COMMAND [ARGUMENTS] [--flags]

work
  run SERVICE --team T --target X [--body B|@FILE] [--idempotent] [--key K --attempt N]
                            run a request on a runner and print the answer
  submit --team T --pool P --name N [--kind service|batch|gang] [--tasks N] [--cpu_milli ...]
                            submit a job and print its id
  status JOB                show the state of a job
  wait JOB [--until started|ended] [--wait_ms N]
                            wait until a job has started or ended
  why JOB                   show why a job waits or how it ended
  cancel JOB                cancel one job
  cancel-all --team T [--pool P] [--name N] [--state S]
                            cancel all jobs that match the flags
  list [--team T] [--pool P] [--name N] [--state S] [--limit N]
                            list the jobs that match the flags

settings
  settings get [PATH]       print the subtrees in force with their revisions
  settings check PATH --file F
                            validate a file against the schema, without contacting a daemon
  settings set PATH --file F --operator_name NAME [--base REVISION]
                            publish a change; on a conflict, print the difference
  settings load --file F --operator_name NAME
                            publish each subtree of a whole tree that differs from the one in force
  settings diff PATH --file F
                            print the difference from the subtree in force to a file
  settings history [PATH] [--limit N]
                            list the latest changes with their verdicts

configuration of a cell
  config check FILE [--against FILE]
                            check a configuration before it is sent, without contacting a daemon;
                            exit codes: 0 clean, 1 findings, 2 unreadable

cell
  cell                      list the daemons and the owner of each shard
  workers [--pool P]        list the workers as known to the owners of their shards
  runners [--pool P]        list the runners as known to the owners of their shards
  drain VM --operator_name NAME
                            assign no new work to a worker or runner
  undrain VM --operator_name NAME
                            assign new work to it again
  log-level LEVEL           change the log level of the first VM in --entries

exit codes: 0 success, 1 failed, 2 invalid input, 3 no answer, 4 not run, 5 may have run, 6 conflict

examples
  bulrushctl run proof --team salto --target "work_ms=40" --body "In memory of" --idempotent
  bulrushctl submit --team salto --pool proof --name layout --tasks 500 --cpu_milli 2000 --idempotent
  bulrushctl settings get teams/salto > salto.yaml; $EDITOR salto.yaml; bulrushctl settings set teams/salto --file salto.yaml --operator_name ana --base 17
)";

    std::string newId()
    {
        std::random_device device;
        std::ostringstream text;
        text << std::hex << device() << device() << device();
        return text.str();
    }

    Expected<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (path.empty() || !file)
            return fail(ErrorKind::InvalidInput, "the file \"" + path + "\" can't be opened", "check the path that is given with --file or --body");
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

    Expected<std::vector<Address>> parseEntries()
    {
        std::vector<Address> entries;
        std::istringstream list(FLAGS_entries);
        for (std::string item; std::getline(list, item, ',');) {
            const auto address = parseAddress(item);
            if (!address)
                return tl::unexpected(address.error());
            entries.push_back(*address);
        }
        if (entries.empty())
            return fail(ErrorKind::InvalidInput, "--entries is empty", "give the address of at least one entry VM as IP:PORT");
        return entries;
    }

    /** Context of the command that the program runs. */
    struct CommandContext {
        CallerClient& m_client; ///< Client for calls to the daemons.
        std::vector<std::string> m_arguments; ///< Arguments after the command, without flags.
    };

    ExitCode callAndPrint(CommandContext& context, const CallerCall& call)
    {
        const auto answer = context.m_client.call(call);
        return answer ? printAnswer(*answer, FLAGS_json) : printError(answer.error(), FLAGS_json);
    }

    /**
     * @param index Index among the arguments after the command.
     * @param description Name of the argument in the error message.
     * @return The argument, or an InvalidInput error if it is missing.
     */
    Expected<std::string> argument(const CommandContext& context, std::size_t index, const std::string& description)
    {
        if (index < context.m_arguments.size())
            return context.m_arguments[index];
        return fail(ErrorKind::InvalidInput, description + " is missing", "see bulrushctl help");
    }

    ExitCode runRequest(CommandContext& context)
    {
        const auto service = argument(context, 0, "the service");
        if (!service)
            return printError(service.error(), FLAGS_json);
        RunCall call { .m_service = *service, .m_target = FLAGS_target, .m_team = FLAGS_team, .m_workClass = FLAGS_work_class };
        call.m_key = FLAGS_key.empty() ? newId() : FLAGS_key;
        call.m_isIdempotent = FLAGS_idempotent;
        call.m_attempt = static_cast<std::uint32_t>(FLAGS_attempt);
        call.m_deadline.m_ms = FLAGS_deadline_ms;
        std::string body = FLAGS_body;
        if (!body.empty() && body.front() == '@') {
            const auto text = readFile(body.substr(1));
            if (!text)
                return printError(text.error(), FLAGS_json);
            body = *text;
        }
        call.m_body = makeBody(body);
        return callAndPrint(context, call);
    }

    ExitCode submit(CommandContext& context)
    {
        JobSpec spec { .m_key = FLAGS_key.empty() ? newId() : FLAGS_key, .m_name = FLAGS_name, .m_team = FLAGS_team, .m_workClass = FLAGS_work_class, .m_pool = FLAGS_pool };
        const auto kind = findValue(jobKindNames, FLAGS_kind);
        if (!kind)
            return printError({ ErrorKind::InvalidInput, "--kind \"" + FLAGS_kind + "\" is unknown", "use one of: " + listNames(jobKindNames) }, FLAGS_json);
        spec.m_kind = *kind;
        spec.m_taskCount = static_cast<std::uint32_t>(FLAGS_tasks);
        spec.m_declared = { .m_cpuMilli = FLAGS_cpu_milli, .m_memoryMb = FLAGS_memory_mb, .m_gpus = FLAGS_gpus };
        spec.m_declaredRunTime.m_ms = FLAGS_run_time_ms;
        spec.m_isIdempotent = FLAGS_idempotent || spec.m_kind == JobKind::Service;
        spec.m_payload = FLAGS_payload;
        if (auto checked = checkJobSpec(spec); !checked)
            return printError(checked.error(), FLAGS_json);
        return callAndPrint(context, SubmitCall { spec });
    }

    /** Parses the job id in the first argument and runs an action with it. */
    ExitCode withJobId(CommandContext& context, const std::function<ExitCode(const JobId&)>& action)
    {
        const auto text = argument(context, 0, "the job id");
        const auto id = text ? parseJobId(*text) : tl::unexpected(text.error());
        return id ? action(*id) : printError(id.error(), FLAGS_json);
    }

    ExitCode status(CommandContext& context)
    {
        return withJobId(context, [&](const JobId& id) { return callAndPrint(context, StatusCall { .m_job = id }); });
    }

    ExitCode wait(CommandContext& context)
    {
        const auto until = findValue(waitUntilNames, FLAGS_until);
        if (!until)
            return printError({ ErrorKind::InvalidInput, "--until \"" + FLAGS_until + "\" is unknown", "use started or ended" }, FLAGS_json);
        return withJobId(context, [&](const JobId& id) { return callAndPrint(context, StatusCall { .m_job = id, .m_until = *until, .m_maxWait = { FLAGS_wait_ms } }); });
    }

    ExitCode cancel(CommandContext& context)
    {
        return withJobId(context, [&](const JobId& id) {
            const ExitCode code = callAndPrint(context, CancelCall { id });
            // NotRun is the code of a cancelled job, which is a success here. An error answer with outcome NotRun has the same code and is therefore reported as Ok too.
            return code == ExitCode::NotRun ? ExitCode::Ok : code;
        });
    }

    /**
     * Sends a call to the owner of each shard, or of each shard of --pool, one after the other. Stops at the first error and prints it.
     * @param makeCall Creates the call for a shard.
     * @param handleAnswer Receives each answer that is not an error.
     * @return Ok, or the exit code of the error.
     */
    ExitCode forEachShard(CommandContext& context, const std::function<CallerCall(const std::string&)>& makeCall, const std::function<void(CallerAnswer&)>& handleAnswer)
    {
        const auto cell = context.m_client.call(CellCall {});
        if (!cell)
            return printError(cell.error(), FLAGS_json);
        const auto* const view = std::get_if<CellAnswer>(&*cell);
        if (!view)
            return printAnswer(*cell, FLAGS_json);
        for (const ShardView& shard : view->m_shards) {
            // The name of a shard is POOL-INDEX.
            if (!FLAGS_pool.empty() && shard.m_name.substr(0, shard.m_name.rfind('-')) != FLAGS_pool)
                continue;
            auto answer = context.m_client.call(makeCall(shard.m_name));
            if (!answer)
                return printError(answer.error(), FLAGS_json);
            if (std::holds_alternative<ErrorAnswer>(*answer))
                return printAnswer(*answer, FLAGS_json);
            handleAnswer(*answer);
        }
        return ExitCode::Ok;
    }

    JobSelector selectorFromFlags()
    {
        return { .m_pool = FLAGS_pool, .m_team = FLAGS_team, .m_name = FLAGS_name, .m_state = FLAGS_state };
    }

    ExitCode list(CommandContext& context)
    {
        JobListAnswer merged;
        const auto makeCall = [](const std::string& shard) -> CallerCall { return ListCall { .m_shard = shard, .m_selector = selectorFromFlags(), .m_limit = static_cast<std::uint32_t>(FLAGS_limit) }; };
        const ExitCode code = forEachShard(context, makeCall, [&merged](CallerAnswer& answer) {
            auto& jobs = std::get<JobListAnswer>(answer).m_jobs;
            merged.m_jobs.insert(merged.m_jobs.end(), jobs.begin(), jobs.end());
        });
        return code == ExitCode::Ok ? printAnswer(merged, FLAGS_json) : code;
    }

    ExitCode cancelAll(CommandContext& context)
    {
        CancelSelectedAnswer merged;
        const auto makeCall = [](const std::string& shard) -> CallerCall { return CancelSelectedCall { .m_shard = shard, .m_selector = selectorFromFlags() }; };
        const ExitCode code = forEachShard(context, makeCall, [&merged](CallerAnswer& answer) { merged.m_count += std::get<CancelSelectedAnswer>(answer).m_count; });
        return code == ExitCode::Ok ? printAnswer(merged, FLAGS_json) : code;
    }

    ExitCode listEndpoints(CommandContext& context, const std::string& kind)
    {
        EndpointsAnswer merged;
        const auto makeCall = [](const std::string& shard) -> CallerCall { return EndpointsCall { shard }; };
        const ExitCode code = forEachShard(context, makeCall, [&](CallerAnswer& answer) {
            for (const EndpointView& view : std::get<EndpointsAnswer>(answer).m_endpoints) {
                if (view.m_kind == kind)
                    merged.m_endpoints.push_back(view);
            }
        });
        return code == ExitCode::Ok ? printAnswer(merged, FLAGS_json) : code;
    }

    Expected<SettingsAnswer> getSettings(CommandContext& context, const std::string& path)
    {
        const auto answer = context.m_client.call(SettingsGetCall { path });
        if (!answer)
            return tl::unexpected(answer.error());
        if (const auto* error = std::get_if<ErrorAnswer>(&*answer))
            return tl::unexpected(error->m_error);
        return std::get<SettingsAnswer>(*answer);
    }

    /** @return The subtree in force, which is empty if it has not been set; or the error of the call. */
    Expected<Subtree> getSubtree(CommandContext& context, const std::string& path)
    {
        const auto settings = getSettings(context, path);
        if (!settings)
            return tl::unexpected(settings.error());
        return settings->m_subtrees.empty() ? Subtree {} : settings->m_subtrees.front().m_subtree;
    }

    /** Sets author and base revision of a change from the flags and publishes it. Without --base, a change that has no base revision gets the revision in force. */
    ExitCode publish(CommandContext& context, SettingsChange change)
    {
        if (FLAGS_operator_name.empty())
            return printError({ ErrorKind::InvalidInput, "--operator_name is missing", "give the name of the operator who makes the change" }, FLAGS_json);
        if (change.m_baseRevision.m_value == 0 && FLAGS_base < 0) {
            const auto inForce = getSubtree(context, change.m_path);
            if (!inForce)
                return printError(inForce.error(), FLAGS_json);
            change.m_baseRevision = inForce->m_revision;
        } else if (FLAGS_base >= 0) {
            change.m_baseRevision.m_value = static_cast<std::uint64_t>(FLAGS_base);
        }
        change.m_id = newId();
        change.m_operator = FLAGS_operator_name;
        return callAndPrint(context, SettingsChangeCall { change });
    }

    /** Publishes each subtree that differs from the one in force; stops at the first failure. */
    ExitCode loadSettings(CommandContext& context, const std::string& yaml)
    {
        const auto changes = splitSettingsTree(yaml);
        if (!changes)
            return printError(changes.error(), FLAGS_json);
        for (const SettingsChange& change : *changes) {
            const auto inForce = getSubtree(context, change.m_path);
            if (inForce && inForce->m_yaml == change.m_yaml)
                continue;
            const ExitCode code = publish(context, change);
            if (code != ExitCode::Ok)
                return code;
        }
        return ExitCode::Ok;
    }

    /** Runs a settings command that reads --file: load, check, set or diff. */
    ExitCode runSettingsFileCommand(CommandContext& context, const std::string& action)
    {
        const auto yaml = readFile(FLAGS_file);
        if (!yaml)
            return printError(yaml.error(), FLAGS_json);
        if (action == "load")
            return loadSettings(context, *yaml);
        const auto path = argument(context, 1, "the path of the subtree");
        if (!path)
            return printError(path.error(), FLAGS_json);
        if (auto checked = checkSubtree(*path, *yaml); !checked)
            return printError(checked.error(), FLAGS_json);
        if (action == "check") {
            std::cout << FLAGS_file << " is valid for " << *path << "\n";
            return ExitCode::Ok;
        }
        if (action == "set")
            return publish(context, { .m_path = *path, .m_yaml = *yaml });
        const auto inForce = getSubtree(context, *path);
        if (!inForce)
            return printError(inForce.error(), FLAGS_json);
        std::cout << diffLines(inForce->m_yaml, *yaml);
        return ExitCode::Ok;
    }

    ExitCode runSettingsCommand(CommandContext& context)
    {
        const auto action = argument(context, 0, "the settings action (get, set, load, check, diff or history)");
        if (!action)
            return printError(action.error(), FLAGS_json);
        const std::string path = context.m_arguments.size() > 1 ? context.m_arguments[1] : std::string();
        if (*action == "get")
            return callAndPrint(context, SettingsGetCall { path });
        if (*action == "history")
            return callAndPrint(context, SettingsHistoryCall { path, static_cast<std::uint32_t>(FLAGS_limit) });
        if (*action == "set" || *action == "load" || *action == "check" || *action == "diff")
            return runSettingsFileCommand(context, *action);
        return printError({ ErrorKind::InvalidInput, "\"settings " + *action + "\" is not a command", "use get, set, load, check, diff or history" }, FLAGS_json);
    }

    /** Publishes a change that adds a VM to the drained VMs or removes it. */
    ExitCode setDrained(CommandContext& context, bool isDrained)
    {
        const auto vm = argument(context, 0, "the name of the VM");
        if (!vm)
            return printError(vm.error(), FLAGS_json);
        const auto inForce = getSubtree(context, "cell/drained");
        if (!inForce)
            return printError(inForce.error(), FLAGS_json);
        SettingsState state;
        if (!inForce->m_yaml.empty())
            state.m_subtrees["cell/drained"] = *inForce;
        std::set<std::string> names = buildPolicy(state)->m_drained;
        if (isDrained)
            names.insert(*vm);
        else
            names.erase(*vm);
        std::string yaml = "vms: [";
        for (const std::string& name : names)
            yaml += (yaml.back() == '[' ? "" : ", ") + name;
        return publish(context, { .m_path = "cell/drained", .m_baseRevision = inForce->m_revision, .m_yaml = yaml + "]\n" });
    }

    ExitCode setLogLevel(CommandContext& context, EventLoop& loop, const Address& entry)
    {
        const auto level = argument(context, 0, "the log level");
        if (!level)
            return printError(level.error(), FLAGS_json);
        HttpClient client(loop, {});
        const JsonRpcSender send = [&](const std::string& request, std::string& response) {
            HttpCall call { .m_address = entry };
            call.m_request = { .m_method = "POST", .m_target = jsonRpcPath, .m_headers = {}, .m_body = makeBody(request) };
            const HttpResult result = sendAndWait(client, std::move(call));
            response = result ? std::string(viewOf(result->m_body)) : std::string();
            return result.has_value();
        };
        const JsonRpcResult result = callJsonRpc(send, "setLogLevel", "{\"level\":\"" + *level + "\"}");
        if (!result.m_isAnswered)
            return printError({ ErrorKind::Unavailable, result.m_error, "check that the daemon is running" }, FLAGS_json);
        if (result.m_resultJson != "true")
            return printError({ ErrorKind::InvalidInput, "\"" + *level + "\" is not a log level", "use trace, debug, info, warning, error or off" }, FLAGS_json);
        return ExitCode::Ok;
    }

    ExitCode runCommand(const std::string& command, CommandContext& context, EventLoop& loop, const Address& entry)
    {
        if (command == "run")
            return runRequest(context);
        if (command == "submit")
            return submit(context);
        if (command == "status" || command == "why")
            return status(context);
        if (command == "wait")
            return wait(context);
        if (command == "cancel")
            return cancel(context);
        if (command == "cancel-all")
            return cancelAll(context);
        if (command == "list")
            return list(context);
        if (command == "settings")
            return runSettingsCommand(context);
        if (command == "cell")
            return callAndPrint(context, CellCall {});
        if (command == "workers")
            return listEndpoints(context, "worker");
        if (command == "runners")
            return listEndpoints(context, "runner");
        if (command == "drain" || command == "undrain")
            return setDrained(context, command == "drain");
        if (command == "log-level")
            return setLogLevel(context, loop, entry);
        return printError({ ErrorKind::InvalidInput, "\"" + command + "\" is not a command", "see bulrushctl help" }, FLAGS_json);
    }

    /** Runs the command that checks a configuration, which has exit codes of its own. @param arguments Arguments after "config". */
    int runConfigCommand(const std::vector<std::string>& arguments)
    {
        if (arguments.size() != 2 || arguments.front() != "check")
            return static_cast<int>(printError({ ErrorKind::InvalidInput, "\"config\" needs the action check and a file", "use bulrushctl config check FILE [--against FILE]" }, FLAGS_json));
        return static_cast<int>(checkConfigFile({ .m_file = arguments[1], .m_against = FLAGS_against, .m_asJson = FLAGS_json }, std::cout));
    }

    ExitCode runMain(int argc, char** argv)
    {
        if (argc < 2 || std::string(argv[1]) == "help") {
            std::cout << usage;
            return argc < 2 ? ExitCode::BadInput : ExitCode::Ok;
        }
        const auto entries = parseEntries();
        if (!entries)
            return printError(entries.error(), FLAGS_json);
        EventLoop loop("client");
        CallerClient client(loop, { .m_entries = *entries });
        CommandContext context { .m_client = client, .m_arguments = std::vector<std::string>(argv + 2, argv + argc) };
        const ExitCode code = runCommand(argv[1], context, loop, entries->front());
        loop.stop();
        return code;
    }

} // namespace

} // namespace bulrushloft

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(bulrushloft::usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1 && std::string(argv[1]) == "config")
        return bulrushloft::runConfigCommand({ argv + 2, argv + argc });
    return static_cast<int>(bulrushloft::runMain(argc, argv));
}

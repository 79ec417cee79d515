package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.cornelway.intent.IntentSettings;
import org.cornelway.role.AgentRole;
import org.cornelway.role.AgentSettings;
import org.cornelway.role.CommonSettings;

/** Runs an agent, the process in front of one backend server. */
@Parameters(commandDescription = "Runs an agent for one backend server")
final class AgentCommand implements Command {
    @ParametersDelegate private final CommonFlags mCommon = new CommonFlags();

    @Parameter(names = "--kind", description = "Kind of the backend server, model or plain")
    private String mKind = "model";

    @Parameter(
            names = "--service",
            description = "Name of the plain service; only with --kind plain")
    private String mService = "";

    @Parameter(names = "--backend-server", description = "Address of the backend server, host:port")
    private String mBackendServer = "127.0.0.1:8000";

    @Parameter(
            names = "--concurrency",
            description = "Maximum number of concurrent requests, 1 to 10000")
    private String mConcurrency = "32";

    @Parameter(
            names = "--max-waiting",
            description = "Maximum number of waiting requests, 1 to 100000")
    private String mMaxWaitingRequests = "512";

    @Parameter(
            names = "--order-timeout-ms",
            description =
                    "Timeout of an engine order, after which its outcome is unknown (ms),"
                            + " 100 to 3600000")
    private String mOrderTimeout = "120000";

    @Parameter(
            names = "--call-timeout-ms",
            description =
                    "Timeout of a call to a plain service, after which its outcome is unknown (ms),"
                            + " 10 to 3600000")
    private String mCallTimeout = "30000";

    @Parameter(
            names = "--engine-checks-fencing",
            description = "Whether the engine rejects stale fencing numbers; true or false")
    private String mEngineChecksFencing = "false";

    @Parameter(
            names = "--urgent-ms",
            description =
                    "Remaining time at which a deferred request becomes urgent (ms),"
                            + " 0 to 86400000")
    private String mUrgentThreshold = "60000";

    @Parameter(
            names = "--intent-shards",
            description = "Number of intent log shards, the same in all processes, 1 to 1024")
    private String mIntentShards = "16";

    @Parameter(
            names = "--intent-write-ms",
            description = "Minimum time between two writes of a shard (ms), 0 to 10000")
    private String mIntentWriteInterval = "50";

    @Parameter(
            names = "--intent-retain-ms",
            description = "Retention time of an idempotency key (ms), 1000 to 604800000")
    private String mIntentRetention = "7200000";

    @Parameter(
            names = "--intent-body-bytes",
            description =
                    "Largest response body retained for an idempotency key (bytes), 0 to 32768")
    private String mMaxRetainedBodyBytes = "4096";

    @Override
    public String name() {
        return "agent";
    }

    @Override
    public int run() {
        SettingsChecker checker = new SettingsChecker();
        CommonSettings common = mCommon.configureLoggingAndParse(checker);
        String kind = checker.text("--kind", mKind, "model|plain", "model or plain");
        String serviceNamePattern = kind.equals("plain") ? "[A-Za-z0-9._-]{1,64}" : "";
        String allowedServiceName =
                kind.equals("plain")
                        ? "1 to 64 letters, digits, '.', '_' or '-'"
                        : "empty if --kind is model";
        AgentSettings settings =
                new AgentSettings(
                        common,
                        kind,
                        checker.text("--service", mService, serviceNamePattern, allowedServiceName),
                        checker.endpoint("--backend-server", mBackendServer),
                        checker.integer("--concurrency", mConcurrency, 1, 10_000),
                        checker.integer("--max-waiting", mMaxWaitingRequests, 1, 100_000),
                        checker.number("--order-timeout-ms", mOrderTimeout, 100, 3_600_000),
                        checker.number("--call-timeout-ms", mCallTimeout, 10, 3_600_000),
                        checker.bool("--engine-checks-fencing", mEngineChecksFencing),
                        checker.number("--urgent-ms", mUrgentThreshold, 0, 86_400_000),
                        intentSettings(checker));
        if (checker.printErrors()) {
            return EXIT_USAGE;
        }
        return RoleRunner.start(
                new AgentRole(settings), StopLimits.afterDrain(common.drainMillis()));
    }

    private IntentSettings intentSettings(SettingsChecker checker) {
        return new IntentSettings(
                checker.integer("--intent-shards", mIntentShards, 1, 1_024),
                checker.number("--intent-write-ms", mIntentWriteInterval, 0, 10_000),
                checker.number("--intent-retain-ms", mIntentRetention, 1_000, 604_800_000),
                checker.integer("--intent-body-bytes", mMaxRetainedBodyBytes, 0, 32_768));
    }
}

package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import org.cornelway.relay.RelaySettings;
import org.cornelway.role.CommonSettings;

/**
 * Flags shared by the commands that run a role.
 *
 * <p>All flags are declared as text. The parser would stop at the first invalid number, whereas
 * {@link SettingsChecker} reports every invalid value at once.
 */
final class CommonFlags {
    @Parameter(names = "--help", help = true, description = "Shows all settings")
    private boolean mHelp;

    @Parameter(
            names = "--instance-id",
            description = "Id of this instance in the platform's instance list; required")
    private String mInstanceId = "";

    @Parameter(names = "--host", description = "IP address to listen on")
    private String mHost = "127.0.0.1";

    @Parameter(names = "--http-port", description = "Port of the HTTP server, 1 to 65535")
    private String mHttpPort = "8080";

    @Parameter(names = "--rpc-port", description = "Port of the gRPC server, 1 to 65535")
    private String mRpcPort = "8090";

    @Parameter(names = "--kv", description = "Address of the key-value service, host:port")
    private String mKeyValueService = "127.0.0.1:2379";

    @Parameter(
            names = "--kv-timeout-ms",
            description = "Timeout of a call to the key-value service (ms), 50 to 60000")
    private String mKeyValueTimeout = "1000";

    @Parameter(names = "--instances", description = "Address of the instance list, host:port")
    private String mInstanceList = "127.0.0.1:2380";

    @Parameter(
            names = "--instances-poll-ms",
            description = "Poll interval of the instance list (ms), 100 to 60000")
    private String mInstanceListPoll = "1000";

    @Parameter(
            names = "--cluster-key",
            description = "Secret shared by all processes of the system; required")
    private String mClusterKey = "";

    @Parameter(
            names = "--drain-ms",
            description = "Maximum duration of a graceful shutdown (ms), 0 to 3600000")
    private String mDrain = "30000";

    @Parameter(
            names = "--strict-invariants",
            description = "Whether a violated invariant throws an exception; true or false")
    private String mStrictInvariants = "false";

    @Parameter(
            names = "--relay-fan-out",
            description = "Number of peers that a new document is pushed to, 0 to 64")
    private String mRelayFanOut = "3";

    @Parameter(
            names = "--anti-entropy-ms",
            description = "Anti-entropy interval with a random peer (ms), 100 to 60000")
    private String mAntiEntropy = "1000";

    @Parameter(
            names = "--watchers",
            description = "Number of processes that watch the key-value service, 1 to 64")
    private String mWatchers = "3";

    @Parameter(names = "--log-format", description = "Log format, text or json")
    private String mLogFormat = "text";

    @Parameter(names = "--log-level", description = "Log level, error, warn, info or debug")
    private String mLogLevel = "info";

    /** Configures logging and converts the flags to settings; the checker collects the errors. */
    CommonSettings configureLoggingAndParse(SettingsChecker checker) {
        String format = checker.text("--log-format", mLogFormat, "text|json", "text or json");
        String level =
                checker.text(
                        "--log-level",
                        mLogLevel,
                        "error|warn|info|debug",
                        "error, warn, info or debug");
        Logging.configure(format, level);
        return new CommonSettings(
                checker.text(
                        "--instance-id",
                        mInstanceId,
                        "[A-Za-z0-9._-]{1,64}",
                        "1 to 64 letters, digits, '.', '_' or '-'"),
                mHost,
                checker.integer("--http-port", mHttpPort, 1, 65_535),
                checker.integer("--rpc-port", mRpcPort, 1, 65_535),
                checker.endpoint("--kv", mKeyValueService),
                checker.number("--kv-timeout-ms", mKeyValueTimeout, 50, 60_000),
                checker.endpoint("--instances", mInstanceList),
                checker.number("--instances-poll-ms", mInstanceListPoll, 100, 60_000),
                checker.secret("--cluster-key", mClusterKey),
                checker.number("--drain-ms", mDrain, 0, 3_600_000),
                checker.bool("--strict-invariants", mStrictInvariants),
                new RelaySettings(
                        checker.integer("--relay-fan-out", mRelayFanOut, 0, 64),
                        checker.number("--anti-entropy-ms", mAntiEntropy, 100, 60_000),
                        checker.integer("--watchers", mWatchers, 1, 64)));
    }
}

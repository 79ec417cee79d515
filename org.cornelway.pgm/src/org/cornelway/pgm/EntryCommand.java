package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.cornelway.role.CommonSettings;
import org.cornelway.role.EntryRole;
import org.cornelway.role.EntrySettings;

/** Runs an entry, the process that accepts requests from callers. */
@Parameters(commandDescription = "Runs an entry behind the load balancer")
final class EntryCommand implements Command {
    @ParametersDelegate private final CommonFlags mCommon = new CommonFlags();

    @Parameter(
            names = "--operator-token",
            description = "Token of the administration API; required")
    private String mOperatorToken = "";

    @Parameter(names = "--max-open", description = "Maximum number of open requests, 1 to 1000000")
    private String mMaxOpenRequests = "4096";

    @Parameter(
            names = "--default-deadline-ms",
            description = "Deadline of a request that specifies none (ms), 1 to 86400000")
    private String mDefaultDeadline = "60000";

    @Parameter(
            names = "--max-deadline-ms",
            description = "Longest deadline of a request (ms), 1 to 172800000")
    private String mMaxDeadline = "86400000";

    @Parameter(
            names = "--intent-shards",
            description = "Number of intent log shards, the same in all processes, 1 to 1024")
    private String mIntentShards = "16";

    @Parameter(names = "--retry-share", description = "Retry budget as retries per request, 0 to 1")
    private String mRetryShare = "0.1";

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public int run() {
        SettingsChecker checker = new SettingsChecker();
        CommonSettings common = mCommon.configureLoggingAndParse(checker);
        EntrySettings settings =
                new EntrySettings(
                        common,
                        checker.secret("--operator-token", mOperatorToken),
                        checker.integer("--max-open", mMaxOpenRequests, 1, 1_000_000),
                        checker.number("--default-deadline-ms", mDefaultDeadline, 1, 86_400_000),
                        checker.number("--max-deadline-ms", mMaxDeadline, 1, 172_800_000),
                        checker.integer("--intent-shards", mIntentShards, 1, 1_024),
                        checker.fraction("--retry-share", mRetryShare));
        if (checker.printErrors()) {
            return EXIT_USAGE;
        }
        return RoleRunner.start(
                new EntryRole(settings), StopLimits.afterDrain(common.drainMillis()));
    }
}

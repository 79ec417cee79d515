package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.cornelway.platform.wire.WireCallCodec;
import org.cornelway.platform.wire.WireEngineControl;
import org.cornelway.platform.wire.WireRoutingDecoder;
import org.cornelway.platform.wire.WireServerDecoder;
import org.cornelway.platform.wire.WireSettings;
import org.cornelway.platform.wire.WireStore;
import org.cornelway.role.DirectEntryRole;
import org.cornelway.role.DirectEntrySettings;
import org.cornelway.role.PlatformPorts;
import org.cornelway.role.SettingsSource;
import sun.misc.Signal;

/**
 * Runs an entry that calls backend servers directly, configured by the platform's settings file.
 */
@Parameters(commandDescription = "Runs an entry on the users' platform")
final class DirectEntryCommand implements Command {
    /** Environment variable set by the platform; it has no corresponding flag. */
    private static final String SETTINGS_FILE_VARIABLE = "CORNELWAY_SETTINGS";

    /**
     * The store normally replies within milliseconds. After this time, the reply is considered lost
     * or the store unavailable.
     */
    private static final long STORE_TIMEOUT_MILLIS = 600;

    /**
     * Engines normally reply to an order or a report request within milliseconds. After this time,
     * the reply is considered lost.
     */
    private static final long ENGINE_TIMEOUT_MILLIS = 400;

    @Parameter(names = "--help", help = true, description = "Shows all settings")
    private boolean mHelp;

    @Parameter(
            names = "--cluster-key",
            description = "Secret shared by all processes of the system; required")
    private String mClusterKey = "";

    @Parameter(names = "--log-level", description = "Log level, error, warn, info or debug")
    private String mLogLevel = "info";

    @Override
    public String name() {
        return "direct-entry";
    }

    @Override
    public int run() {
        // Timers of the control thread must not be affected by wall-clock adjustments.
        System.setProperty("rx3.scheduler.use-nanotime", "true");
        disableFlightRecorder();
        Logging.configureEventLog(mLogLevel);
        SettingsChecker checker = new SettingsChecker();
        String clusterKey = checker.secret("--cluster-key", mClusterKey);
        String settingsFile = System.getenv(SETTINGS_FILE_VARIABLE);
        if (settingsFile == null) {
            System.err.println(
                    SETTINGS_FILE_VARIABLE + ": must be set to the path of the settings file");
            return EXIT_USAGE;
        }
        if (checker.printErrors()) {
            return EXIT_USAGE;
        }
        try {
            SettingsSource source = () -> WireSettings.read(Path.of(settingsFile), clusterKey);
            DirectEntrySettings settings = source.read();
            DirectEntryRole role = new DirectEntryRole(settings, source, platformPorts());
            // The default action of SIGHUP would terminate the process.
            Signal.handle(new Signal("HUP"), signal -> role.reload());
            return run(role, StopLimits.withinGrace(settings.bounds().graceMillis()));
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return EXIT_USAGE;
        }
    }

    /** Starts the role; returns when the process must end, and on a signal does not return. */
    private static int run(DirectEntryRole role, StopLimits limits) {
        int status = RoleRunner.start(role, limits);
        if (status >= 0) {
            return status;
        }
        role.awaitFailure();
        return EXIT_FAILED;
    }

    /**
     * Keeps Netty and its shaded copy in gRPC from starting Java Flight Recorder, because its
     * events are not used.
     */
    private static void disableFlightRecorder() {
        System.setProperty("io.netty.jfr.enabled", "false");
        System.setProperty("io.grpc.netty.shaded.io.netty.jfr.enabled", "false");
    }

    private static PlatformPorts platformPorts() {
        return new PlatformPorts(
                new WireCallCodec(),
                new WireRoutingDecoder(),
                new WireServerDecoder(),
                target -> {
                    WireStore store =
                            new WireStore(target.client(), target.endpoint(), STORE_TIMEOUT_MILLIS);
                    return new PlatformPorts.Store(store, store);
                },
                (caller, clock, notices) ->
                        new WireEngineControl(caller, ENGINE_TIMEOUT_MILLIS, clock, notices));
    }
}

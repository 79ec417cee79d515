package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.concurrent.TimeUnit;
import org.cornelway.admin.SystemStatus;
import org.cornelway.config.Json;
import org.cornelway.internal.platform.HttpReply;

/** Shows the state of the whole system on one screen. */
@Parameters(commandDescription = "Shows the state of the whole system")
final class StatusCommand implements Command {
    private static final long REFRESH_SECONDS = 2;
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";

    @ParametersDelegate private final ClientFlags mClient = new ClientFlags();

    @Parameter(names = "--json", description = "Prints JSON")
    private boolean mJson;

    @Parameter(names = "--watch", description = "Refreshes the screen until interrupted")
    private boolean mWatch;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public int run() {
        int exitStatus = show();
        while (mWatch && exitStatus == EXIT_OK) {
            try {
                TimeUnit.SECONDS.sleep(REFRESH_SECONDS);
            } catch (InterruptedException e) {
                return EXIT_OK;
            }
            System.out.print(CLEAR_SCREEN);
            exitStatus = show();
        }
        return exitStatus;
    }

    private int show() {
        return mClient.call("GET", "/status", new byte[0], this::print);
    }

    private int print(HttpReply reply) {
        if (mJson || !reply.isSuccess()) {
            return ClientFlags.print(reply);
        }
        SystemStatus status = Json.read(reply.body(), SystemStatus.class).orElseThrow();
        System.out.print(StatusScreen.render(status, System.currentTimeMillis()));
        return EXIT_OK;
    }
}

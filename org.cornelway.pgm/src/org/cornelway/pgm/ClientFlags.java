package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.cornelway.admin.AdminClient;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.internal.platform.HttpReply;

/** Flags shared by the commands that call the administration API. */
final class ClientFlags {
    @Parameter(names = "--help", help = true, description = "Shows all settings")
    private boolean mHelp;

    @Parameter(names = "--entry", description = "Address of an entry, host:port")
    private String mEntry = "127.0.0.1:8080";

    @Parameter(
            names = "--operator-token",
            description = "Token of the administration API; required")
    private String mOperatorToken = "";

    @Parameter(names = "--author", description = "Author recorded in the audit trail")
    private String mAuthor = System.getProperty("user.name", "unnamed");

    /**
     * Sends one request and passes the reply to a handler. Prints an error if a flag is invalid or
     * no reply arrives.
     *
     * @param method HTTP method
     * @param path path below the API's prefix
     * @param body request body; empty if there is none
     * @param handler prints the reply and returns the exit status
     * @return the exit status
     */
    int call(String method, String path, byte[] body, Function<HttpReply, Integer> handler) {
        SettingsChecker checker = new SettingsChecker();
        HttpEndpoint entry = checker.endpoint("--entry", mEntry);
        checker.secret("--operator-token", mOperatorToken);
        Logging.configure("text", "error");
        if (checker.printErrors()) {
            return Command.EXIT_USAGE;
        }
        Vertx vertx = Vertx.vertx();
        try {
            AdminClient client = new AdminClient(vertx, entry, mOperatorToken, mAuthor);
            return handler.apply(client.send(method, path, body).blockingGet());
        } catch (RuntimeException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            System.err.println("request to entry " + entry + " failed: " + cause.getMessage());
            return Command.EXIT_FAILED;
        } finally {
            vertx.close();
        }
    }

    /**
     * Prints a reply to standard output if it is a success, otherwise to standard error; returns
     * the exit status.
     */
    static int print(HttpReply reply) {
        String text = new String(reply.body(), StandardCharsets.UTF_8);
        if (reply.isSuccess()) {
            System.out.println(PrettyJson.format(text));
            return Command.EXIT_OK;
        }
        System.err.println(PrettyJson.format(text));
        return Command.EXIT_FAILED;
    }
}

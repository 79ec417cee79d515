package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Prints the log lines that concern one call and the cause of the call's outcome. Reads the logs of
 * the processes from standard input; fails if they contain no line about the call.
 */
@Parameters(commandDescription = "Explains the outcome of a call from logs on standard input")
final class ExplainCommand implements Command {
    @Parameter(description = "REQUEST-ID")
    private List<String> mRequestIds = new ArrayList<>();

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public int run() {
        if (mRequestIds.size() != 1) {
            System.err.println("explain: exactly one request id is required");
            return EXIT_USAGE;
        }
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        CallExplanation explanation = CallExplanation.of(mRequestIds.get(0), in.lines().toList());
        explanation.lines().forEach(System.out::println);
        System.out.println("cause: " + explanation.cause());
        return explanation.lines().isEmpty() ? EXIT_FAILED : EXIT_OK;
    }
}

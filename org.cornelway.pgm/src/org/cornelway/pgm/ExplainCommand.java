package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Explains how a call ended, from the logs of the processes on standard input. */
@Parameters(commandDescription = "Explains a call from logs on standard input")
final class ExplainCommand implements Command {
    @Parameter(description = "REQUEST-ID")
    private List<String> mIds = new ArrayList<>();

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public int run() {
        if (mIds.size() != 1) {
            System.err.println("explain: one request id is needed");
            return EXIT_USAGE;
        }
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        CallExplanation story = CallExplanation.of(mIds.get(0), in.lines().toList());
        story.lines().forEach(System.out::println);
        System.out.println("cause: " + story.cause());
        return story.lines().isEmpty() ? EXIT_FAILED : EXIT_OK;
    }
}

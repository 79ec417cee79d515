package org.cornelway.pgm;

import com.beust.jcommander.Parameters;
import java.util.Optional;

/** Prints the version of the program. */
@Parameters(commandDescription = "Prints the version")
final class VersionCommand implements Command {
    /** Printed if the program does not run from its JAR file, whose manifest has the version. */
    private static final String UNPACKAGED = "unpackaged";

    @Override
    public String name() {
        return "version";
    }

    @Override
    public int run() {
        String version = Main.class.getPackage().getImplementationVersion();
        System.out.println("cornelway " + Optional.ofNullable(version).orElse(UNPACKAGED));
        return EXIT_OK;
    }
}

package org.cornelway.pgm;

/** A command of the program. Not thread-safe. */
public interface Command {
    int EXIT_OK = 0;
    int EXIT_FAILED = 1;
    int EXIT_USAGE = 2;

    /** The name on the command line. */
    String name();

    /**
     * Runs the command; returns the exit status, or a negative number if the command has started an
     * entry or an agent that keeps running.
     */
    int run();
}

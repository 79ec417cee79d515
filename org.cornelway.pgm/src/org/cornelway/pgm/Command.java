package org.cornelway.pgm;

/** A command of the program. Used by one thread. */
public interface Command {
    int EXIT_OK = 0;
    int EXIT_FAILED = 1;
    int EXIT_USAGE = 2;

    /** Name on the command line. */
    String name();

    /** Runs; returns the exit status. */
    int run();
}

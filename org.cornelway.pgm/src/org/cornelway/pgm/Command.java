package org.cornelway.pgm;

/**
 * A command of the program.
 *
 * <p>The parser sets the fields from the command line before {@link #run} is called. Not
 * thread-safe.
 */
public interface Command {
    /** Exit status if the command succeeded. */
    int EXIT_OK = 0;

    /** Exit status if the command was executed and failed. */
    int EXIT_FAILED = 1;

    /** Exit status if the command was not executed because its flags or its input are invalid. */
    int EXIT_USAGE = 2;

    /** The name on the command line: one word, or two words separated by a space. */
    String name();

    /**
     * Runs the command; returns the exit status, or a negative number if the command has started an
     * entry or an agent that keeps running.
     */
    int run();
}

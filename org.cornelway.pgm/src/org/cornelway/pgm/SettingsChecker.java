package org.cornelway.pgm;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.cornelway.internal.platform.HttpEndpoint;

/**
 * Parses settings and collects all errors, so that they can be reported together.
 *
 * <p>For an invalid setting, a method adds an error and returns a value that must not be used to
 * start a process role. Not thread-safe.
 */
final class SettingsChecker {
    private final List<String> mErrors = new ArrayList<>();

    /** Returns the name of the environment variable that sets a flag. */
    static String environmentVariable(String flag) {
        return "CORNELWAY_"
                + flag.replaceFirst("^--", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /** Parses an {@code int} in a range; both limits are inclusive. */
    int integer(String flag, String value, int min, int max) {
        return (int) number(flag, value, min, max);
    }

    /** Parses a {@code long} in a range; both limits are inclusive. */
    long number(String flag, String value, long min, long max) {
        try {
            long number = Long.parseLong(value.trim());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below together with the range.
        }
        addError(flag, value, "an integer from " + min + " to " + max);
        return min;
    }

    /** Parses a number from 0 to 1. */
    double fraction(String flag, String value) {
        try {
            double number = Double.parseDouble(value.trim());
            if (number >= 0 && number <= 1) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below together with the range.
        }
        addError(flag, value, "a number from 0 to 1");
        return 0;
    }

    /** Parses {@code true} or {@code false}. */
    boolean bool(String flag, String value) {
        if (!value.matches("true|false")) {
            addError(flag, value, "true or false");
        }
        return value.equals("true");
    }

    /**
     * Checks a text against a pattern.
     *
     * @param pattern regular expression that the whole text must match
     * @param allowed description of the allowed values for the error message
     */
    String text(String flag, String value, String pattern, String allowed) {
        if (!value.matches(pattern)) {
            addError(flag, value, allowed);
        }
        return value;
    }

    /** Parses an address of the form {@code host:port}. */
    HttpEndpoint endpoint(String flag, String value) {
        if (value.matches("[^:\\s]+:[0-9]{1,5}")) {
            HttpEndpoint endpoint = HttpEndpoint.parse(value);
            if (endpoint.port() > 0 && endpoint.port() < 65_536) {
                return endpoint;
            }
        }
        addError(flag, value, "host:port with a port from 1 to 65535");
        return new HttpEndpoint("127.0.0.1", 1);
    }

    /** Checks that a secret has at least 8 characters; errors do not contain the secret. */
    String secret(String flag, String value) {
        if (value.length() < 8) {
            String shown = value.isEmpty() ? "" : "(secret)";
            addError(flag, shown, "at least 8 characters");
        }
        return value;
    }

    private void addError(String flag, String value, String allowed) {
        mErrors.add(
                flag + " (" + environmentVariable(flag) + "): '" + value + "', must be " + allowed);
    }

    /** The errors found so far, one message per invalid setting. */
    List<String> errors() {
        return mErrors;
    }

    /** Prints the errors to standard error; returns whether there are any. */
    boolean printErrors() {
        mErrors.forEach(System.err::println);
        return !mErrors.isEmpty();
    }
}

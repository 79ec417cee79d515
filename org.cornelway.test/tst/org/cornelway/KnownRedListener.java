package org.cornelway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.IMethodInstance;
import org.testng.IMethodInterceptor;
import org.testng.ITestContext;

/**
 * Excludes exactly the test cases listed in KNOWN-RED.txt and prints each of them.
 *
 * <p>A case is listed by a line {@code case: Class#method}, optionally followed by {@code |} and
 * remarks.
 */
public final class KnownRedListener implements IMethodInterceptor {
    private static final String CASE_PREFIX = "case:";

    @Override
    public List<IMethodInstance> intercept(List<IMethodInstance> methods, ITestContext context) {
        Set<String> knownRedCases = readKnownRedCases();
        return methods.stream().filter(method -> !isKnownRed(method, knownRedCases)).toList();
    }

    /** Returns whether a test case is listed, and prints it if so. */
    private static boolean isKnownRed(IMethodInstance method, Set<String> knownRedCases) {
        String name =
                method.getMethod().getRealClass().getSimpleName()
                        + "#"
                        + method.getMethod().getMethodName();
        boolean isListed = knownRedCases.contains(name);
        if (isListed) {
            System.out.println("known red, skipped: " + name);
        }
        return isListed;
    }

    private static Set<String> readKnownRedCases() {
        try {
            return Files.readAllLines(RepositoryFiles.file("KNOWN-RED.txt")).stream()
                    .filter(line -> line.startsWith(CASE_PREFIX))
                    .map(line -> line.substring(CASE_PREFIX.length()).split("\\|")[0].trim())
                    .collect(Collectors.toSet());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

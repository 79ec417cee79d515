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

/** Excludes exactly the test cases listed in KNOWN-RED.txt and prints each of them. */
public final class KnownRedListener implements IMethodInterceptor {
    private static final String CASE = "case:";

    @Override
    public List<IMethodInstance> intercept(List<IMethodInstance> methods, ITestContext context) {
        Set<String> red = cases();
        return methods.stream().filter(method -> !isRed(method, red)).toList();
    }

    private static boolean isRed(IMethodInstance method, Set<String> red) {
        String name =
                method.getMethod().getRealClass().getSimpleName()
                        + "#"
                        + method.getMethod().getMethodName();
        boolean known = red.contains(name);
        if (known) {
            System.out.println("known red, skipped: " + name);
        }
        return known;
    }

    private static Set<String> cases() {
        try {
            return Files.readAllLines(Repository.file("KNOWN-RED.txt")).stream()
                    .filter(line -> line.startsWith(CASE))
                    .map(line -> line.substring(CASE.length()).split("\\|")[0].trim())
                    .collect(Collectors.toSet());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

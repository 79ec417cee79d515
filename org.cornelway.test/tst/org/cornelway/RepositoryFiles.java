package org.cornelway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Gives tests access to the files of the repository. Stateless. */
public final class RepositoryFiles {
    private RepositoryFiles() {}

    /**
     * The root directory of the repository: the system property {@code cornelway.root}, or the
     * parent of the working directory if it is not set.
     */
    public static Path root() {
        return Path.of(System.getProperty("cornelway.root", "..")).toAbsolutePath().normalize();
    }

    /** Returns the absolute path of a file, given by its path relative to the root. */
    public static Path file(String path) {
        return root().resolve(path);
    }

    /** Reads a file, given by its path relative to the root. */
    public static String read(String path) {
        try {
            return Files.readString(file(path));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

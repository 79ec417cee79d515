package org.cornelway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Files of the repository. Stateless. */
public final class Repository {
    private Repository() {}

    /** The repository's root. */
    public static Path root() {
        return Path.of(System.getProperty("cornelway.root", "..")).toAbsolutePath().normalize();
    }

    /** A file by its path below the root. */
    public static Path file(String path) {
        return root().resolve(path);
    }

    /** A file's text. */
    public static String read(String path) {
        try {
            return Files.readString(file(path));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

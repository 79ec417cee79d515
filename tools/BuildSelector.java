import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Runs a direct entry of one of two builds; {@code tools/mixed-builds} starts it as {@code
 * target/cornelway}.
 *
 * <p>The build runs in this process, so that signals reach it. Entries with an odd index run the
 * build at {@code target/odd}, the others the one at {@code target/even}. The index is the number
 * at the end of the name of the settings file. The path of the selected build is appended to {@code
 * target/starts}.
 */
public final class BuildSelector {
    private BuildSelector() {}

    /** Runs the main class of the selected build with the given arguments. */
    public static void main(String[] arguments) throws ReflectiveOperationException, IOException {
        String settings = System.getenv("CORNELWAY_SETTINGS");
        boolean odd = settings != null && settings.matches(".*[13579]\\.json");
        Path build = Path.of("target", odd ? "odd" : "even").toRealPath();
        Files.writeString(
                Path.of("target", "starts"),
                build + "\n",
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        ClassLoader loader =
                new URLClassLoader(
                        new URL[] {build.toUri().toURL()}, ClassLoader.getPlatformClassLoader());
        Thread.currentThread().setContextClassLoader(loader);
        loader.loadClass("org.cornelway.pgm.Main")
                .getMethod("main", String[].class)
                .invoke(null, (Object) arguments);
    }
}

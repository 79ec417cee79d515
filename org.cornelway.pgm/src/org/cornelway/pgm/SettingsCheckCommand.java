package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.platform.wire.WireSettings;
import org.cornelway.role.DirectEntrySettings;

/** Validates a settings file that the users' platform writes, without starting an entry. */
@Parameters(commandDescription = "Checks a settings file of the users' platform")
final class SettingsCheckCommand implements Command {
    /**
     * Passed as the cluster key. The settings file does not contain the key, and the check does not
     * use it.
     */
    private static final String PLACEHOLDER_KEY = "unused";

    @Parameter(description = "FILE")
    private List<String> mFiles = new ArrayList<>();

    @Override
    public String name() {
        return "settings check";
    }

    @Override
    public int run() {
        if (mFiles.size() != 1) {
            System.err.println("settings check: exactly one file is required");
            return EXIT_USAGE;
        }
        try {
            DirectEntrySettings settings =
                    WireSettings.read(Path.of(mFiles.get(0)), PLACEHOLDER_KEY);
            System.out.println("ok: " + settings.instanceId() + " in " + settings.zone());
            return EXIT_OK;
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return EXIT_FAILED;
        }
    }
}

package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.platform.wire.WireSettings;
import org.cornelway.role.DirectEntrySettings;

/** Checks a settings file of the users' platform without starting anything. */
@Parameters(commandDescription = "Checks a settings file of the users' platform")
final class SettingsCheckCommand implements Command {
    /** The key is no part of the file. */
    private static final String ANY_KEY = "unused";

    @Parameter(description = "FILE")
    private List<String> mFiles = new ArrayList<>();

    @Override
    public String name() {
        return "settings check";
    }

    @Override
    public int run() {
        if (mFiles.size() != 1) {
            System.err.println("settings check: one file is needed");
            return EXIT_USAGE;
        }
        try {
            DirectEntrySettings settings = WireSettings.read(Path.of(mFiles.get(0)), ANY_KEY);
            System.out.println("ok: " + settings.instanceId() + " in " + settings.zone());
            return EXIT_OK;
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return EXIT_FAILED;
        }
    }
}

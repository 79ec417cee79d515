package org.cornelway.pgm;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Map;

/** Prints the help text or the settings page. */
@Parameters(commandDescription = "Prints this help")
final class HelpCommand implements Command {
    @Parameter(names = "--settings-page", description = "Prints the settings page instead")
    private boolean mSettingsPage;

    @Override
    public String name() {
        return "help";
    }

    @Override
    public int run() {
        JCommander parser = Main.createParser(Main.createCommands(), Map.of());
        if (mSettingsPage) {
            System.out.print(SettingsPage.render(parser));
        } else {
            parser.usage();
        }
        return EXIT_OK;
    }
}

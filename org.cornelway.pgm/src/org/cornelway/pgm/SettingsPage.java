package org.cornelway.pgm;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Writes docs/SETTINGS.md from the flags themselves. Stateless and thread-safe. */
public final class SettingsPage {
    private SettingsPage() {}

    /** The page for the program's own commands. */
    public static String generate() {
        return of(Main.parser(Main.commands(), Map.of()));
    }

    static String of(JCommander parser) {
        StringBuilder page = new StringBuilder("# Settings\n\n");
        page.append("Written by `cornelway help --settings-page`; a test compares the two.\n");
        page.append("A flag goes before its environment variable.\n");
        parser.getCommands().forEach((name, command) -> section(page, name, command));
        return page.toString();
    }

    private static void section(StringBuilder page, String name, JCommander command) {
        List<ParameterDescription> flags =
                command.getParameters().stream()
                        .filter(flag -> !flag.getNames().contains("--help"))
                        .sorted(Comparator.comparing(ParameterDescription::getNames))
                        .toList();
        if (flags.isEmpty()) {
            return;
        }
        page.append("\n## cornelway ").append(name).append("\n\n");
        page.append("| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n");
        flags.forEach(flag -> row(page, flag));
    }

    private static void row(StringBuilder page, ParameterDescription flag) {
        Object value = flag.getNames().equals("--author") ? "the user" : flag.getDefault();
        page.append("| `").append(flag.getNames()).append("` | `");
        page.append(SettingsChecker.environmentVariable(flag.getNames())).append("` | ");
        page.append(value == null ? "" : value).append(" | ");
        page.append(flag.getDescription()).append(" |\n");
    }
}

package org.cornelway.pgm;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the command line and runs one command. */
public final class Main {
    /** First words of commands that have two. */
    private static final Set<String> GROUPS = Set.of("preset", "settings");

    private Main() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        int status = run(arguments, System.getenv());
        // Roles keep running; every other command ends here.
        if (status >= 0) {
            System.exit(status);
        }
    }

    /** The commands in the order of the help text. */
    static List<Command> commands() {
        return List.of(
                new EntryCommand(),
                new DirectEntryCommand(),
                new AgentCommand(),
                new PresetCommands.ListPresets(),
                new PresetCommands.Show(),
                new PresetCommands.Put(),
                new PresetCommands.Validate(),
                new PresetCommands.Diff(),
                new PresetCommands.Switch(),
                new PresetCommands.History(),
                new StatusCommand(),
                new SettingsCheckCommand(),
                new ExplainCommand(),
                new VersionCommand(),
                new HelpCommand());
    }

    private static int run(String[] arguments, Map<String, String> environment) {
        List<String> words = joined(arguments);
        List<Command> commands = wanted(words);
        JCommander parser = parser(commands, environment);
        try {
            parser.parse(words.toArray(String[]::new));
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.err.println("try 'cornelway help'");
            return Command.EXIT_USAGE;
        }
        String name = parser.getParsedCommand() == null ? "help" : parser.getParsedCommand();
        if (words.contains("--help")) {
            parser.usage();
            return Command.EXIT_OK;
        }
        return commands.stream()
                .filter(command -> command.name().equals(name))
                .findFirst()
                .orElseThrow()
                .run();
    }

    /** The command that the first word names, or all: a process starts faster with one alone. */
    private static List<Command> wanted(List<String> words) {
        String first = words.isEmpty() ? "" : words.get(0);
        List<Command> all = commands();
        List<Command> named = all.stream().filter(each -> each.name().equals(first)).toList();
        return named.isEmpty() ? all : named;
    }

    /** A parser that knows the commands and takes settings from the environment too. */
    static JCommander parser(List<Command> commands, Map<String, String> environment) {
        JCommander parser = new JCommander();
        parser.setProgramName("cornelway");
        parser.setDefaultProvider(
                option -> environment.get(SettingsChecker.environmentVariable(option)));
        commands.forEach(command -> parser.addCommand(command.name(), command));
        return parser;
    }

    /** Makes two words such as {@code preset put} one for the parser. */
    private static List<String> joined(String[] arguments) {
        List<String> words = new ArrayList<>(Arrays.asList(arguments));
        if (words.size() >= 2 && GROUPS.contains(words.get(0))) {
            words.set(0, words.get(0) + " " + words.remove(1));
        }
        if (words.size() == 1 && words.get(0).equals("--help")) {
            words.set(0, "help");
        }
        return words;
    }
}

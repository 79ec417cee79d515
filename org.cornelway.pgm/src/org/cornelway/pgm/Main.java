package org.cornelway.pgm;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Entry point of the program: parses the command line and runs one command. */
public final class Main {
    /** First words of the two-word commands. */
    private static final Set<String> COMMAND_GROUPS = Set.of("preset", "settings");

    private Main() {}

    /**
     * Runs the command named by the arguments. Exits when the command has ended, and returns if it
     * has started an entry or an agent.
     */
    public static void main(String[] arguments) {
        int exitStatus = run(arguments, System.getenv());
        // A negative status means that an entry or an agent keeps running.
        if (exitStatus >= 0) {
            System.exit(exitStatus);
        }
    }

    /** Returns new instances of all commands, in the order of the help text. */
    static List<Command> createCommands() {
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
        List<String> words = normalizeArguments(arguments);
        List<Command> commands = selectCommands(words);
        JCommander parser = createParser(commands, environment);
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

    /**
     * Returns the command named by the first word, or all commands if it names none. The program
     * starts faster if the parser is set up for a single command.
     */
    private static List<Command> selectCommands(List<String> words) {
        String first = words.isEmpty() ? "" : words.get(0);
        List<Command> all = createCommands();
        List<Command> matching =
                all.stream().filter(command -> command.name().equals(first)).toList();
        return matching.isEmpty() ? all : matching;
    }

    /**
     * Creates a parser for commands. A flag that is missing on the command line takes its value
     * from its environment variable.
     */
    static JCommander createParser(List<Command> commands, Map<String, String> environment) {
        JCommander parser = new JCommander();
        parser.setProgramName("cornelway");
        parser.setDefaultProvider(
                option -> environment.get(SettingsChecker.environmentVariable(option)));
        commands.forEach(command -> parser.addCommand(command.name(), command));
        return parser;
    }

    /**
     * Joins the words of a command such as {@code preset put} into one argument, because the parser
     * accepts only commands of one argument, and replaces a sole {@code --help} by {@code help}.
     */
    private static List<String> normalizeArguments(String[] arguments) {
        List<String> words = new ArrayList<>(Arrays.asList(arguments));
        if (words.size() >= 2 && COMMAND_GROUPS.contains(words.get(0))) {
            words.set(0, words.get(0) + " " + words.remove(1));
        }
        if (words.size() == 1 && words.get(0).equals("--help")) {
            words.set(0, "help");
        }
        return words;
    }
}

package org.cornelway.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelway.config.Json;
import org.cornelway.config.Preset;
import org.cornelway.config.PresetDifference;
import org.cornelway.config.StoredPreset;
import org.cornelway.internal.platform.HttpReply;
import org.cornelway.result.Result;

/** The commands that manage presets. */
final class PresetCommands {
    private static final byte[] NO_BODY = new byte[0];

    private PresetCommands() {}

    /** Lists the stored presets. */
    @Parameters(commandDescription = "Lists the stored presets")
    static final class ListPresets implements Command {
        @ParametersDelegate private final ClientFlags mClient = new ClientFlags();

        @Override
        public String name() {
            return "preset list";
        }

        @Override
        public int run() {
            return mClient.call("GET", "/presets", NO_BODY, ListPresets::printNames);
        }

        private static int printNames(HttpReply reply) {
            if (!reply.isSuccess()) {
                return ClientFlags.print(reply);
            }
            for (JsonNode stored : readJson(reply)) {
                String name = stored.path("preset").path("name").asText();
                System.out.println(name + " version " + stored.path("version").asLong());
            }
            return EXIT_OK;
        }
    }

    /** Shows a stored preset. */
    @Parameters(commandDescription = "Shows a stored preset")
    static final class Show implements Command {
        @ParametersDelegate private final ClientFlags mClient = new ClientFlags();

        @Parameter(description = "Name of the preset", required = true)
        private String mName;

        @Override
        public String name() {
            return "preset show";
        }

        @Override
        public int run() {
            return mClient.call("GET", "/presets/" + mName, NO_BODY, ClientFlags::print);
        }
    }

    /** Stores a preset. */
    @Parameters(commandDescription = "Stores a preset from a file")
    static final class Put implements Command {
        @ParametersDelegate private final ClientFlags mClient = new ClientFlags();

        @Parameter(description = "Path of the preset file", required = true)
        private String mPath;

        @Override
        public String name() {
            return "preset put";
        }

        @Override
        public int run() {
            Optional<byte[]> content = readFileOrPrintError(mPath);
            Optional<Preset> preset =
                    content.map(Json::readPreset).flatMap(PresetCommands::presetOrPrintError);
            if (preset.isEmpty()) {
                return EXIT_USAGE;
            }
            return mClient.call(
                    "PUT", "/presets/" + preset.get().name(), content.get(), ClientFlags::print);
        }
    }

    /** Validates a preset without storing it. */
    @Parameters(commandDescription = "Checks a preset file and prints all errors")
    static final class Validate implements Command {
        @ParametersDelegate private final ClientFlags mClient = new ClientFlags();

        @Parameter(description = "Path of the preset file", required = true)
        private String mPath;

        @Override
        public String name() {
            return "preset validate";
        }

        @Override
        public int run() {
            Optional<byte[]> content = readFileOrPrintError(mPath);
            if (content.isEmpty()) {
                return EXIT_USAGE;
            }
            return mClient.call("POST", "/validate", content.get(), Validate::printErrors);
        }

        private static int printErrors(HttpReply reply) {
            if (!reply.isSuccess()) {
                return ClientFlags.print(reply);
            }
            JsonNode validation = readJson(reply);
            validation.path("faults").forEach(error -> System.out.println(error.asText()));
            boolean valid = validation.path("valid").asBoolean();
            System.out.println(valid ? "valid" : "invalid");
            return valid ? EXIT_OK : EXIT_FAILED;
        }
    }

    /** Compares a preset file with the stored preset of the same name. */
    @Parameters(commandDescription = "Compares a preset file with the stored preset")
    static final class Diff implements Command {
        @ParametersDelegate private final ClientFlags mClient = new ClientFlags();

        @Parameter(description = "Path of the preset file", required = true)
        private String mPath;

        @Override
        public String name() {
            return "preset diff";
        }

        @Override
        public int run() {
            Optional<Preset> preset =
                    readFileOrPrintError(mPath)
                            .map(Json::readPreset)
                            .flatMap(PresetCommands::presetOrPrintError);
            if (preset.isEmpty()) {
                return EXIT_USAGE;
            }
            return mClient.call(
                    "GET",
                    "/presets/" + preset.get().name(),
                    NO_BODY,
                    reply -> printDifferences(reply, preset.get()));
        }

        private static int printDifferences(HttpReply reply, Preset preset) {
            if (!reply.isSuccess()) {
                return ClientFlags.print(reply);
            }
            Preset stored = Json.read(reply.body(), StoredPreset.class).orElseThrow().preset();
            PresetDifference.between(stored, preset).forEach(System.out::println);
            return EXIT_OK;
        }
    }

    /** Activates a stored preset. */
    @Parameters(commandDescription = "Activates a stored preset")
    static final class Switch implements Command {
        @ParametersDelegate private final ClientFlags mClient = new ClientFlags();

        @Parameter(description = "Name of the preset", required = true)
        private String mName;

        @Parameter(
                names = "--expect-revision",
                description = "Expected version of the active preset; empty for any")
        private String mExpectedVersion = "";

        @Override
        public String name() {
            return "preset switch";
        }

        @Override
        public int run() {
            ObjectNode body = Json.lenientMapper().createObjectNode().put("preset", mName);
            if (!mExpectedVersion.isEmpty()) {
                SettingsChecker checker = new SettingsChecker();
                long version =
                        checker.number("--expect-revision", mExpectedVersion, 0, Long.MAX_VALUE);
                if (checker.printErrors()) {
                    return EXIT_USAGE;
                }
                body.put("expectVersion", version);
            }
            return mClient.call("POST", "/switch", Json.write(body), Switch::printActiveVersion);
        }

        private static int printActiveVersion(HttpReply reply) {
            if (!reply.isSuccess()) {
                return ClientFlags.print(reply);
            }
            JsonNode configuration = readJson(reply);
            System.out.println(
                    "preset "
                            + configuration.path("preset").path("name").asText()
                            + " in force as version "
                            + configuration.path("version").asLong());
            return EXIT_OK;
        }
    }

    /** Shows the audit trail. */
    @Parameters(commandDescription = "Shows the audit trail, oldest first")
    static final class History implements Command {
        @ParametersDelegate private final ClientFlags mClient = new ClientFlags();

        @Override
        public String name() {
            return "preset history";
        }

        @Override
        public int run() {
            return mClient.call("GET", "/history", NO_BODY, History::printEntries);
        }

        private static int printEntries(HttpReply reply) {
            if (!reply.isSuccess()) {
                return ClientFlags.print(reply);
            }
            for (JsonNode entry : readJson(reply)) {
                List<String> columns = new ArrayList<>();
                columns.add(
                        java.time.Instant.ofEpochMilli(entry.path("epochMillis").asLong())
                                .toString());
                columns.add(entry.path("author").asText());
                columns.add(entry.path("kind").asText());
                columns.add(entry.path("from").asText() + " -> " + entry.path("to").asText());
                columns.add("version " + entry.path("version").asLong());
                System.out.println(String.join("  ", columns));
            }
            return EXIT_OK;
        }
    }

    /** Returns the content of a file; if it cannot be read, prints the error and returns empty. */
    private static Optional<byte[]> readFileOrPrintError(String path) {
        try {
            return Optional.of(Files.readAllBytes(Path.of(path)));
        } catch (IOException e) {
            System.err.println("file " + path + " cannot be read: " + e.getMessage());
            return Optional.empty();
        }
    }

    /** Returns the preset; if it is invalid, prints the error and returns empty. */
    private static Optional<Preset> presetOrPrintError(Result<Preset> result) {
        result.failure().ifPresent(refusal -> System.err.println(refusal.message()));
        return result.toOptional();
    }

    private static JsonNode readJson(HttpReply reply) {
        try {
            return Json.lenientMapper().readTree(reply.body());
        } catch (IOException e) {
            throw new IllegalStateException("the reply of the entry is not valid JSON", e);
        }
    }
}

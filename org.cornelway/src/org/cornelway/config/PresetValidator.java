package org.cornelway.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates presets. All errors of a preset are reported together. Stateless and thread-safe. */
public final class PresetValidator {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    private PresetValidator() {}

    /**
     * Returns the errors that can be found without knowing the backend servers; an empty list means
     * that there are none.
     */
    public static List<String> findErrors(Preset preset) {
        List<String> errors = new ArrayList<>();
        checkName(errors, "name", preset.name());
        checkModels(errors, preset);
        checkAdapters(errors, preset);
        checkServices(errors, preset);
        checkTeams(errors, preset);
        if (preset.idleUnloadMillis() < 1_000) {
            errors.add("idleUnloadMillis: " + preset.idleUnloadMillis() + ", at least 1000");
        }
        if (!(preset.deferredShare() >= 0 && preset.deferredShare() <= 1)) {
            errors.add("deferredShare: " + preset.deferredShare() + ", from 0 to 1");
        }
        return errors;
    }

    /**
     * Returns the errors of a preset that depend on the existing backend servers.
     *
     * @param serverBytes memory of each model server, in bytes
     */
    public static List<String> findCapacityErrors(Preset preset, List<Long> serverBytes) {
        List<String> errors = new ArrayList<>();
        long largest = serverBytes.stream().mapToLong(Long::longValue).max().orElse(0);
        long total = serverBytes.stream().mapToLong(Long::longValue).sum();
        long warmBytes = 0;
        for (ModelRule rule : preset.models()) {
            warmBytes += rule.bytes() * rule.warm();
            if (rule.limit() > serverBytes.size()) {
                errors.add(
                        "models."
                                + rule.name()
                                + ".limit: "
                                + rule.limit()
                                + ", but there are "
                                + serverBytes.size()
                                + " model servers");
            }
            if (rule.limit() > 0 && rule.bytes() > largest) {
                errors.add(
                        "models."
                                + rule.name()
                                + ".bytes: "
                                + rule.bytes()
                                + ", but the largest model server has "
                                + largest);
            }
        }
        if (warmBytes > total) {
            errors.add("models: warm replicas take " + warmBytes + " bytes of " + total);
        }
        return errors;
    }

    private static void checkModels(List<String> errors, Preset preset) {
        Set<String> seen = new HashSet<>();
        for (ModelRule rule : preset.models()) {
            String path = "models." + rule.name();
            checkName(errors, path + ".name", rule.name());
            if (!seen.add(rule.name())) {
                errors.add(path + ": listed twice");
            }
            if (rule.bytes() <= 0) {
                errors.add(path + ".bytes: " + rule.bytes() + ", at least 1");
            }
            if (rule.limit() < 0) {
                errors.add(path + ".limit: " + rule.limit() + ", at least 0");
            }
            if (rule.warm() < 0 || rule.warm() > rule.limit()) {
                errors.add(path + ".warm: " + rule.warm() + ", from 0 to limit " + rule.limit());
            }
        }
    }

    private static void checkAdapters(List<String> errors, Preset preset) {
        Set<String> seen = new HashSet<>();
        for (AdapterRule rule : preset.adapters()) {
            String path = "adapters." + rule.base();
            if (preset.models().stream().noneMatch(model -> model.name().equals(rule.base()))) {
                errors.add(path + ": no such model");
            }
            if (rule.bytes() <= 0) {
                errors.add(path + ".bytes: " + rule.bytes() + ", at least 1");
            }
            for (String name : rule.names()) {
                checkName(errors, path + ".names", name);
                if (!seen.add(rule.base() + "/" + name)) {
                    errors.add(path + "." + name + ": listed twice");
                }
            }
        }
    }

    private static void checkServices(List<String> errors, Preset preset) {
        Set<String> seen = new HashSet<>();
        for (ServiceRule rule : preset.services()) {
            checkName(errors, "services.name", rule.name());
            if (!seen.add(rule.name())) {
                errors.add("services." + rule.name() + ": listed twice");
            }
            for (String call : rule.repeatable()) {
                if (!call.matches("[A-Z]+ /.*")) {
                    errors.add(
                            "services."
                                    + rule.name()
                                    + ".repeatable: '"
                                    + call
                                    + "' is not a method and a path");
                }
            }
        }
    }

    private static void checkTeams(List<String> errors, Preset preset) {
        Set<String> seen = new HashSet<>();
        for (TeamRule rule : preset.teams()) {
            checkName(errors, "teams.name", rule.name());
            if (!seen.add(rule.name())) {
                errors.add("teams." + rule.name() + ": listed twice");
            }
            if (rule.keySha256() == null || !SHA256.matcher(rule.keySha256()).matches()) {
                errors.add("teams." + rule.name() + ".keySha256: not 64 hexadecimal digits");
            }
            if (rule.maxWaiting() < 1) {
                errors.add("teams." + rule.name() + ".maxWaiting: at least 1");
            }
        }
    }

    private static void checkName(List<String> errors, String path, String name) {
        if (name == null || !NAME.matcher(name).matches()) {
            errors.add(
                    path + ": '" + name + "' is not a name of letters, digits, '.', '_' and '-'");
        }
    }
}

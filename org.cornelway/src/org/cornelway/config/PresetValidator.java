package org.cornelway.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Finds all faults of a preset at once. Stateless and thread-safe. */
public final class PresetValidator {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    private PresetValidator() {}

    /** The faults that need no knowledge of the backend servers; empty means valid. */
    public static List<String> findErrors(Preset preset) {
        List<String> faults = new ArrayList<>();
        checkName(faults, "name", preset.name());
        checkModels(faults, preset);
        checkAdapters(faults, preset);
        checkServices(faults, preset);
        checkTeams(faults, preset);
        if (preset.idleUnloadMillis() < 1_000) {
            faults.add("idleUnloadMillis: " + preset.idleUnloadMillis() + ", at least 1000");
        }
        if (!(preset.deferredShare() >= 0 && preset.deferredShare() <= 1)) {
            faults.add("deferredShare: " + preset.deferredShare() + ", from 0 to 1");
        }
        return faults;
    }

    /**
     * The faults of a preset against the backend servers there are.
     *
     * @param serverBytes memory of each model server, in bytes
     */
    public static List<String> findCapacityErrors(Preset preset, List<Long> serverBytes) {
        List<String> faults = new ArrayList<>();
        long largest = serverBytes.stream().mapToLong(Long::longValue).max().orElse(0);
        long total = serverBytes.stream().mapToLong(Long::longValue).sum();
        long warmBytes = 0;
        for (ModelRule rule : preset.models()) {
            warmBytes += rule.bytes() * rule.warm();
            if (rule.limit() > serverBytes.size()) {
                faults.add(
                        "models."
                                + rule.name()
                                + ".limit: "
                                + rule.limit()
                                + ", but there are "
                                + serverBytes.size()
                                + " model servers");
            }
            if (rule.limit() > 0 && rule.bytes() > largest) {
                faults.add(
                        "models."
                                + rule.name()
                                + ".bytes: "
                                + rule.bytes()
                                + ", but the largest model server has "
                                + largest);
            }
        }
        if (warmBytes > total) {
            faults.add("models: warm replicas take " + warmBytes + " bytes of " + total);
        }
        return faults;
    }

    private static void checkModels(List<String> faults, Preset preset) {
        Set<String> seen = new HashSet<>();
        for (ModelRule rule : preset.models()) {
            String at = "models." + rule.name();
            checkName(faults, at + ".name", rule.name());
            if (!seen.add(rule.name())) {
                faults.add(at + ": listed twice");
            }
            if (rule.bytes() <= 0) {
                faults.add(at + ".bytes: " + rule.bytes() + ", at least 1");
            }
            if (rule.limit() < 0) {
                faults.add(at + ".limit: " + rule.limit() + ", at least 0");
            }
            if (rule.warm() < 0 || rule.warm() > rule.limit()) {
                faults.add(at + ".warm: " + rule.warm() + ", from 0 to limit " + rule.limit());
            }
        }
    }

    private static void checkAdapters(List<String> faults, Preset preset) {
        Set<String> seen = new HashSet<>();
        for (AdapterRule rule : preset.adapters()) {
            String at = "adapters." + rule.base();
            if (preset.models().stream().noneMatch(model -> model.name().equals(rule.base()))) {
                faults.add(at + ": no such model");
            }
            if (rule.bytes() <= 0) {
                faults.add(at + ".bytes: " + rule.bytes() + ", at least 1");
            }
            for (String name : rule.names()) {
                checkName(faults, at + ".names", name);
                if (!seen.add(rule.base() + "/" + name)) {
                    faults.add(at + "." + name + ": listed twice");
                }
            }
        }
    }

    private static void checkServices(List<String> faults, Preset preset) {
        Set<String> seen = new HashSet<>();
        for (ServiceRule rule : preset.services()) {
            checkName(faults, "services.name", rule.name());
            if (!seen.add(rule.name())) {
                faults.add("services." + rule.name() + ": listed twice");
            }
            for (String call : rule.repeatable()) {
                if (!call.matches("[A-Z]+ /.*")) {
                    faults.add(
                            "services."
                                    + rule.name()
                                    + ".repeatable: '"
                                    + call
                                    + "' is not a method and a path");
                }
            }
        }
    }

    private static void checkTeams(List<String> faults, Preset preset) {
        Set<String> seen = new HashSet<>();
        for (TeamRule rule : preset.teams()) {
            checkName(faults, "teams.name", rule.name());
            if (!seen.add(rule.name())) {
                faults.add("teams." + rule.name() + ": listed twice");
            }
            if (rule.keySha256() == null || !SHA256.matcher(rule.keySha256()).matches()) {
                faults.add("teams." + rule.name() + ".keySha256: not 64 hexadecimal digits");
            }
            if (rule.maxWaiting() < 1) {
                faults.add("teams." + rule.name() + ".maxWaiting: at least 1");
            }
        }
    }

    private static void checkName(List<String> faults, String at, String name) {
        if (name == null || !NAME.matcher(name).matches()) {
            faults.add(at + ": '" + name + "' is not a name of letters, digits, '.', '_' and '-'");
        }
    }
}

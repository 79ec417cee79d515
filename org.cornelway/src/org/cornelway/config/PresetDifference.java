package org.cornelway.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Function;

/** Lists the differences between two presets. Stateless and thread-safe. */
public final class PresetDifference {
    private PresetDifference() {}

    /**
     * Returns a line for each removed and each added value, starting with {@code -} or {@code +}; a
     * changed value is listed as both. Returns an empty list if the presets are equal.
     */
    public static List<String> between(Preset before, Preset after) {
        List<String> lines = new ArrayList<>();
        addRuleLines(lines, "model", before.models(), after.models(), ModelRule::name);
        addRuleLines(lines, "adapters", before.adapters(), after.adapters(), AdapterRule::base);
        addRuleLines(lines, "service", before.services(), after.services(), ServiceRule::name);
        addRuleLines(lines, "team", before.teams(), after.teams(), TeamRule::name);
        addValueLines(
                lines, "idleUnloadMillis", before.idleUnloadMillis(), after.idleUnloadMillis());
        addValueLines(lines, "deferredShare", before.deferredShare(), after.deferredShare());
        return lines;
    }

    private static <T> void addRuleLines(
            List<String> lines,
            String label,
            List<T> before,
            List<T> after,
            Function<T, String> nameOf) {
        TreeSet<String> names = new TreeSet<>();
        before.forEach(rule -> names.add(nameOf.apply(rule)));
        after.forEach(rule -> names.add(nameOf.apply(rule)));
        for (String ruleName : names) {
            List<T> removed =
                    before.stream().filter(r -> nameOf.apply(r).equals(ruleName)).toList();
            List<T> added = after.stream().filter(r -> nameOf.apply(r).equals(ruleName)).toList();
            if (!removed.equals(added)) {
                removed.forEach(rule -> lines.add("- " + label + " " + rule));
                added.forEach(rule -> lines.add("+ " + label + " " + rule));
            }
        }
    }

    private static void addValueLines(
            List<String> lines, String label, Object before, Object after) {
        if (!before.equals(after)) {
            lines.add("- " + label + " " + before);
            lines.add("+ " + label + " " + after);
        }
    }
}

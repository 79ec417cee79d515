package org.cornelway.bench;

import java.util.ArrayList;
import java.util.List;
import org.cornelway.config.AdapterRule;
import org.cornelway.config.Json;
import org.cornelway.config.ModelRule;
import org.cornelway.config.Preset;
import org.cornelway.config.ServiceRule;

/** Creates presets for the demonstration and the tests. Stateless and thread-safe. */
public final class DemoPresets {
    /** Memory of each demonstration model, in bytes. */
    public static final long MODEL_BYTES = 16L << 30;

    private static final long ADAPTER_BYTES = 256L << 20;

    private DemoPresets() {}

    /**
     * Creates a preset with models named {@code model-0}, {@code model-1} and so on, the adapter
     * {@code tuned-0} of {@code model-0}, and the plain service {@link ProcessFleet#PLAIN_SERVICE}.
     * An idle replica that need not stay warm is unloaded after 10 minutes, and deferred requests
     * may take half of a backend server's capacity.
     *
     * @param name name of the preset
     * @param models number of models
     * @param warmReplicas number of warm replicas of the first model
     * @param replicaLimit maximum number of replicas of each model
     */
    public static Preset preset(String name, int models, int warmReplicas, int replicaLimit) {
        List<ModelRule> rules = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            rules.add(
                    new ModelRule(
                            "model-" + i, MODEL_BYTES, i == 0 ? warmReplicas : 0, replicaLimit));
        }
        return new Preset(
                name,
                rules,
                List.of(new AdapterRule("model-0", ADAPTER_BYTES, List.of("tuned-0"))),
                List.of(new ServiceRule(ProcessFleet.PLAIN_SERVICE, List.of("POST /search"))),
                List.of(),
                600_000,
                0.5);
    }

    /** Converts a preset to JSON. */
    public static String toJson(Preset preset) {
        return new String(Json.write(preset), java.nio.charset.StandardCharsets.UTF_8);
    }
}

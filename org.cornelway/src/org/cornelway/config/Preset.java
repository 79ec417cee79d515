package org.cornelway.config;

import java.util.List;

/**
 * What operators decide for one kind of day. Immutable.
 *
 * @param name the preset's name
 * @param models decisions per model
 * @param adapters adapters per base model
 * @param services plain services
 * @param teams teams; none means that callers need no key
 * @param idleUnloadMillis idle time after which a replica beyond {@code warm} is unloaded
 * @param deferredShare share of a backend server that deferred work may take, 0 to 1
 */
public record Preset(
        String name,
        List<ModelRule> models,
        List<AdapterRule> adapters,
        List<ServiceRule> services,
        List<TeamRule> teams,
        long idleUnloadMillis,
        double deferredShare) {
    /** Copies the lists. */
    public Preset {
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        services = services == null ? List.of() : List.copyOf(services);
        teams = teams == null ? List.of() : List.copyOf(teams);
    }
}

package org.cornelway.config;

import java.util.List;

/**
 * A named set of operator settings, for example one for working days and one for weekends.
 * Immutable.
 *
 * @param name the preset's name
 * @param models rules for models
 * @param adapters rules for adapters, one per base model
 * @param services rules for plain services
 * @param teams rules for teams; if there are none, callers need no key
 * @param idleUnloadMillis idle time after which a replica beyond {@link ModelRule#warm} is unloaded
 * @param deferredShare share of a backend server's capacity that deferred requests may take, 0 to 1
 */
public record Preset(
        String name,
        List<ModelRule> models,
        List<AdapterRule> adapters,
        List<ServiceRule> services,
        List<TeamRule> teams,
        long idleUnloadMillis,
        double deferredShare) {
    /** Copies the lists; a missing list becomes an empty one. */
    public Preset {
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        services = services == null ? List.of() : List.copyOf(services);
        teams = teams == null ? List.of() : List.copyOf(teams);
    }
}

package org.cornelway.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Looks up a preset's rules by name. Immutable. */
public final class PresetIndex {
    private final Preset mPreset;
    private final Map<String, ModelRule> mModels = new HashMap<>();
    private final Map<String, Map<String, Long>> mAdapters = new HashMap<>();
    private final Map<String, String> mAdapterBases = new HashMap<>();
    private final Map<String, ServiceRule> mServices = new HashMap<>();
    private final Map<String, TeamRule> mTeamsByKey = new HashMap<>();

    /**
     * @param preset the preset to index
     */
    public PresetIndex(Preset preset) {
        mPreset = preset;
        preset.models().forEach(rule -> mModels.put(rule.name(), rule));
        for (AdapterRule rule : preset.adapters()) {
            Map<String, Long> adapters =
                    mAdapters.computeIfAbsent(rule.base(), base -> new HashMap<>());
            for (String name : rule.names()) {
                adapters.put(name, rule.bytes());
                mAdapterBases.putIfAbsent(name, rule.base());
            }
        }
        preset.services().forEach(rule -> mServices.put(rule.name(), rule));
        preset.teams().forEach(rule -> mTeamsByKey.put(rule.keySha256(), rule));
    }

    /** The preset's name. */
    public String name() {
        return mPreset.name();
    }

    /** The rule for a model; empty if the preset has none. */
    public Optional<ModelRule> model(String model) {
        return Optional.ofNullable(mModels.get(model));
    }

    /** All models' rules. */
    public List<ModelRule> models() {
        return mPreset.models();
    }

    /** Bytes that an adapter of a model takes, or empty if there is no such adapter. */
    public Optional<Long> adapterBytes(String model, String adapter) {
        return Optional.ofNullable(mAdapters.getOrDefault(model, Map.of()).get(adapter));
    }

    /**
     * The base model of an adapter, for requests that name only the adapter; the first one in the
     * preset if several models have an adapter of this name.
     */
    public Optional<String> findAdapterBase(String adapter) {
        return Optional.ofNullable(mAdapterBases.get(adapter));
    }

    /** The rule for a service; empty if the preset has none. */
    public Optional<ServiceRule> service(String service) {
        return Optional.ofNullable(mServices.get(service));
    }

    /** The team whose key has the given digest. */
    public Optional<TeamRule> findTeamByKey(String keySha256) {
        return Optional.ofNullable(mTeamsByKey.get(keySha256));
    }

    /** Whether callers need a team's key, which they do if the preset has any teams. */
    public boolean requiresTeamKey() {
        return !mTeamsByKey.isEmpty();
    }

    /** Idle time after which a replica beyond the warm ones is unloaded, in milliseconds. */
    public long idleUnloadMillis() {
        return mPreset.idleUnloadMillis();
    }

    /** Share of a backend server that deferred requests may take, 0 to 1. */
    public double deferredShare() {
        return mPreset.deferredShare();
    }
}

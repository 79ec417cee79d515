package org.cornelway.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Looks up a preset's rules by name. Immutable. */
public final class PresetIndex {
    private final Preset mPreset;
    private final Map<String, ModelRule> mModels = new HashMap<>();

    /** Memory of each adapter in bytes, by base model and adapter. */
    private final Map<String, Map<String, Long>> mAdapterBytes = new HashMap<>();

    private final Map<String, String> mAdapterBases = new HashMap<>();
    private final Map<String, ServiceRule> mServices = new HashMap<>();

    /** Teams by the SHA-256 of their key, in lower-case hexadecimal. */
    private final Map<String, TeamRule> mTeamsByKeySha256 = new HashMap<>();

    /**
     * @param preset the preset to index
     */
    public PresetIndex(Preset preset) {
        mPreset = preset;
        preset.models().forEach(rule -> mModels.put(rule.name(), rule));
        for (AdapterRule rule : preset.adapters()) {
            Map<String, Long> adapters =
                    mAdapterBytes.computeIfAbsent(rule.base(), base -> new HashMap<>());
            for (String name : rule.names()) {
                adapters.put(name, rule.bytes());
                mAdapterBases.putIfAbsent(name, rule.base());
            }
        }
        preset.services().forEach(rule -> mServices.put(rule.name(), rule));
        preset.teams().forEach(rule -> mTeamsByKeySha256.put(rule.keySha256(), rule));
    }

    /** The preset's name. */
    public String name() {
        return mPreset.name();
    }

    /** The rule for a model; empty if the preset has none. */
    public Optional<ModelRule> model(String model) {
        return Optional.ofNullable(mModels.get(model));
    }

    /** The rules for all models, in the order of the preset. */
    public List<ModelRule> models() {
        return mPreset.models();
    }

    /** Memory that an adapter of a model takes, in bytes; empty if there is no such adapter. */
    public Optional<Long> adapterBytes(String model, String adapter) {
        return Optional.ofNullable(mAdapterBytes.getOrDefault(model, Map.of()).get(adapter));
    }

    /**
     * The base model of an adapter, for requests that name only the adapter; empty if there is no
     * such adapter. If several models have an adapter of this name, the first one in the preset.
     */
    public Optional<String> findAdapterBase(String adapter) {
        return Optional.ofNullable(mAdapterBases.get(adapter));
    }

    /** The rule for a service; empty if the preset has none. */
    public Optional<ServiceRule> service(String service) {
        return Optional.ofNullable(mServices.get(service));
    }

    /**
     * The team whose key has the given digest; empty if there is none.
     *
     * @param keySha256 SHA-256 of the key, in lower-case hexadecimal
     */
    public Optional<TeamRule> findTeamByKeySha256(String keySha256) {
        return Optional.ofNullable(mTeamsByKeySha256.get(keySha256));
    }

    /** Whether callers must send a team's key: true if the preset has any teams. */
    public boolean requiresTeamKey() {
        return !mTeamsByKeySha256.isEmpty();
    }

    /** Idle time after which a replica beyond the warm ones is unloaded, in milliseconds. */
    public long idleUnloadMillis() {
        return mPreset.idleUnloadMillis();
    }

    /** Share of a backend server's capacity that deferred requests may take, 0 to 1. */
    public double deferredShare() {
        return mPreset.deferredShare();
    }
}

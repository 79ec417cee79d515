package org.cornelway.admin;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.cornelway.config.AuditEntry;
import org.cornelway.config.AuditPage;
import org.cornelway.config.Configuration;
import org.cornelway.config.Json;
import org.cornelway.config.Preset;
import org.cornelway.config.PresetValidator;
import org.cornelway.config.StoredPreset;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.DocumentKeys;
import org.cornelway.relay.MemberTable;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;

/**
 * Stores and activates presets.
 *
 * <p>Each change is one conditional write that includes the audit entry of the change. If the
 * response to a write is lost, the id of the audit entry shows whether the change was accepted. Of
 * two concurrent changes of one document, one is accepted and the other ends with a conflict.
 *
 * <p>Thread-safe; responses of the key-value service are processed on the control thread.
 */
public final class ConfigurationEditor {
    private static final String PRESET_PREFIX = "cornelway/presets/";
    private static final String AUDIT_PREFIX = "cornelway/audit/";

    /**
     * Name of the archive that holds the audit entries of preset switches. The other archives have
     * the names of presets, which never begin with a colon.
     */
    private static final String SWITCH_ARCHIVE = ":switches";

    private static final String KIND_SWITCH = "switch";
    private static final String KIND_PUT = "put";

    private final KeyValueStore mStore;
    private final IdempotentWriter mWriter;
    private final DocumentCache mCache;
    private final MemberTable mMembers;
    private final Scheduler mControl;

    /**
     * @param cache receives each accepted configuration at once
     */
    public ConfigurationEditor(
            KeyValueStore store, DocumentCache cache, MemberTable members, Scheduler control) {
        mStore = store;
        mWriter = new IdempotentWriter(store, control);
        mCache = cache;
        mMembers = members;
        mControl = control;
    }

    /**
     * Returns the errors of a preset, an empty list if it is valid. A preset that has no errors of
     * its own is also checked against the memory of the current backend servers.
     */
    public List<String> validate(Preset preset) {
        List<String> errors = new ArrayList<>(PresetValidator.findErrors(preset));
        List<Long> memoryBytes =
                mMembers.all().values().stream()
                        .filter(member -> member.isModelAgent() && !member.leaving())
                        .map(member -> member.memoryBytes())
                        .toList();
        if (errors.isEmpty() && !memoryBytes.isEmpty()) {
            errors.addAll(PresetValidator.findCapacityErrors(preset, memoryBytes));
        }
        return errors;
    }

    /**
     * Stores a preset, replacing the one of the same name. Refuses an invalid preset.
     *
     * @param author name under which the change is recorded
     */
    public Single<Result<StoredPreset>> put(Preset preset, String author) {
        List<String> errors = validate(preset);
        if (!errors.isEmpty()) {
            return failed(ResultCode.INVALID_PRESET, String.join("; ", errors));
        }
        String key = PRESET_PREFIX + preset.name();
        return mStore.get(key)
                .observeOn(mControl)
                .flatMap(
                        kv -> {
                            Optional<StoredPreset> before =
                                    kv.flatMap(v -> Json.read(v.value(), StoredPreset.class));
                            return newArchive(preset.name())
                                    .archiveOldest(
                                            before.map(StoredPreset::audit).orElse(List.of()),
                                            before.map(StoredPreset::archivedPages).orElse(0))
                                    .map(kept -> nextVersion(before, kept, preset, author))
                                    .flatMap(
                                            after ->
                                                    write(
                                                            key,
                                                            kv,
                                                            after,
                                                            after.audit(),
                                                            newArchive(preset.name())));
                        })
                .map(result -> result.map(Written::value))
                .onErrorReturn(e -> storeUnavailable(e));
    }

    private StoredPreset nextVersion(
            Optional<StoredPreset> before,
            AuditPage.RemainingAudit kept,
            Preset preset,
            String author) {
        long version = before.map(StoredPreset::version).orElse(0L);
        List<AuditEntry> audit = new ArrayList<>(kept.audit());
        audit.add(
                new AuditEntry(
                        UUID.randomUUID().toString(),
                        author,
                        now(),
                        KIND_PUT,
                        preset.name() + "@" + version,
                        preset.name() + "@" + (version + 1),
                        version + 1));
        return new StoredPreset(preset, version + 1, audit, kept.archivedPages());
    }

    private AuditArchive newArchive(String name) {
        return new AuditArchive(mStore, mControl, AUDIT_PREFIX + name + "/");
    }

    /**
     * Activates a stored preset.
     *
     * @param expectedVersion configuration version that the operator expects to be in force, or
     *     empty to replace any version
     * @param author name under which the change is recorded
     */
    public Single<Result<Configuration>> switchTo(
            String name, Optional<Long> expectedVersion, String author) {
        return preset(name)
                .flatMap(
                        stored -> {
                            if (stored.isPresent()) {
                                return switchTo(stored.get(), expectedVersion, author);
                            }
                            return ConfigurationEditor.<Configuration>failed(
                                    ResultCode.UNKNOWN_PRESET, "no preset " + name);
                        })
                .onErrorReturn(e -> storeUnavailable(e));
    }

    private Single<Result<Configuration>> switchTo(
            StoredPreset stored, Optional<Long> expectedVersion, String author) {
        return mStore.get(DocumentKeys.CONFIGURATION)
                .observeOn(mControl)
                .flatMap(kv -> switchFrom(kv, stored, expectedVersion, author));
    }

    private Single<Result<Configuration>> switchFrom(
            Optional<KeyValue> kv,
            StoredPreset stored,
            Optional<Long> expectedVersion,
            String author) {
        List<String> errors = validate(stored.preset());
        if (!errors.isEmpty()) {
            return failed(ResultCode.INVALID_PRESET, String.join("; ", errors));
        }
        Optional<Configuration> before = kv.flatMap(v -> Json.read(v.value(), Configuration.class));
        long version = before.map(Configuration::version).orElse(0L);
        if (expectedVersion.isPresent() && expectedVersion.get() != version) {
            return failed(
                    ResultCode.REVISION_CONFLICT, conflictMessage(expectedVersion.get(), before));
        }
        AuditEntry entry =
                new AuditEntry(
                        UUID.randomUUID().toString(),
                        author,
                        now(),
                        KIND_SWITCH,
                        before.map(c -> c.preset().name()).orElse(""),
                        stored.preset().name() + "@" + stored.version(),
                        version + 1);
        AuditArchive archive = newArchive(SWITCH_ARCHIVE);
        return archive.archiveOldest(
                        before.map(Configuration::audit).orElse(List.of()),
                        before.map(Configuration::archivedPages).orElse(0))
                .flatMap(
                        kept -> {
                            List<AuditEntry> audit = new ArrayList<>(kept.audit());
                            audit.add(entry);
                            Configuration after =
                                    new Configuration(
                                            version + 1,
                                            stored.preset(),
                                            audit,
                                            kept.archivedPages());
                            return write(DocumentKeys.CONFIGURATION, kv, after, audit, archive);
                        })
                .map(this::offerToCache)
                .flatMap(result -> withAcceptedChange(result, version));
    }

    /**
     * If another change was accepted first, replaces the message of the refusal with one that names
     * that change.
     */
    private Single<Result<Configuration>> withAcceptedChange(
            Result<Configuration> result, long expectedVersion) {
        boolean isConflict =
                result.failure()
                        .filter(refusal -> refusal.code() == ResultCode.REVISION_CONFLICT)
                        .isPresent();
        if (!isConflict) {
            return Single.just(result);
        }
        return configuration()
                .map(
                        current ->
                                Result.failed(
                                        ResultCode.REVISION_CONFLICT,
                                        conflictMessage(expectedVersion, current)));
    }

    private Result<Configuration> offerToCache(Result<Written<Configuration>> result) {
        result.toOptional().ifPresent(written -> mCache.offerVerified(written.stored()));
        return result.map(Written::value);
    }

    private static String conflictMessage(long expected, Optional<Configuration> current) {
        return current.map(
                        c ->
                                "expected version "
                                        + expected
                                        + ", but version "
                                        + c.version()
                                        + " was accepted: "
                                        + c.lastChange().author()
                                        + " switched to "
                                        + c.lastChange().to())
                .orElse("expected version " + expected + ", but nothing is in force");
    }

    private <T> Single<Result<Written<T>>> write(
            String key,
            Optional<KeyValue> before,
            T after,
            List<AuditEntry> audit,
            AuditArchive archive) {
        String changeId = audit.get(audit.size() - 1).changeId();
        byte[] value = Json.write(after);
        if (value.length > IdempotentWriter.MAX_VALUE_BYTES) {
            return failed(
                    ResultCode.INVALID_PRESET,
                    value.length + " bytes, at most " + IdempotentWriter.MAX_VALUE_BYTES);
        }
        long revision = before.map(KeyValue::revision).orElse(KeyValueStore.ABSENT);
        return mWriter.write(key, revision, value, changeId, archive)
                .map(result -> result.map(stored -> new Written<>(after, stored)));
    }

    /** A written value together with its stored form. */
    private record Written<T>(T value, KeyValue stored) {}

    /** Reads a stored preset; empty if no preset has the name. */
    public Single<Optional<StoredPreset>> preset(String name) {
        return mStore.get(PRESET_PREFIX + name)
                .observeOn(mControl)
                .map(kv -> kv.flatMap(v -> Json.read(v.value(), StoredPreset.class)));
    }

    /** Reads all stored presets. */
    public Single<List<StoredPreset>> presets() {
        return mStore.list(PRESET_PREFIX)
                .observeOn(mControl)
                .map(
                        list ->
                                list.stream()
                                        .flatMap(
                                                v ->
                                                        Json.read(v.value(), StoredPreset.class)
                                                                .stream())
                                        .toList());
    }

    /**
     * Reads the configuration in force from the key-value service, not from the cache; empty if no
     * preset is in force.
     */
    public Single<Optional<Configuration>> configuration() {
        return mStore.get(DocumentKeys.CONFIGURATION)
                .observeOn(mControl)
                .map(kv -> kv.flatMap(v -> Json.read(v.value(), Configuration.class)));
    }

    /** Returns all accepted changes, oldest first. */
    public Single<List<AuditEntry>> history() {
        // The pages are read last, so that no entry is missed: an entry is removed from its
        // document only after its page was written.
        return configuration()
                .map(c -> c.map(Configuration::audit).orElse(List.of()))
                .zipWith(
                        presets().map(ConfigurationEditor::presetChanges),
                        (switches, puts) -> {
                            List<AuditEntry> all = new ArrayList<>(switches);
                            all.addAll(puts);
                            return all;
                        })
                .flatMap(
                        entries ->
                                new AuditArchive(mStore, mControl, AUDIT_PREFIX)
                                        .entries()
                                        .map(
                                                archived -> {
                                                    entries.addAll(archived);
                                                    return entries;
                                                }))
                .map(ConfigurationEditor::distinctSortedByTime);
    }

    private static List<AuditEntry> presetChanges(List<StoredPreset> presets) {
        return presets.stream().flatMap(preset -> preset.audit().stream()).toList();
    }

    /** Sorts the entries and drops duplicates, since an entry can be in its document and a page. */
    private static List<AuditEntry> distinctSortedByTime(List<AuditEntry> entries) {
        List<AuditEntry> distinct = new ArrayList<>();
        entries.stream()
                .filter(
                        entry ->
                                distinct.stream()
                                        .noneMatch(e -> e.changeId().equals(entry.changeId())))
                .forEach(distinct::add);
        distinct.sort(Comparator.comparingLong(AuditEntry::epochMillis));
        return Collections.unmodifiableList(distinct);
    }

    private static <T> Single<Result<T>> failed(ResultCode code, String message) {
        return Single.just(Result.failed(code, message));
    }

    private static <T> Result<T> storeUnavailable(Throwable e) {
        return Result.failed(ResultCode.STORE_UNAVAILABLE, String.valueOf(e.getMessage()));
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }
}

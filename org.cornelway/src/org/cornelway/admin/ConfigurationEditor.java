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
 * Stores presets and switches between them.
 *
 * <p>Each change is one conditional write that carries its audit entry. A change whose answer was
 * lost is settled by its id. Of two racing changes one is accepted and the other is told of it.
 * Confined to the control thread.
 */
public final class ConfigurationEditor {
    private static final String PRESET_PREFIX = "cornelway/presets/";
    private static final String AUDIT_PREFIX = "cornelway/audit/";

    /** Not a preset's name, which never begins with a colon. */
    private static final String SWITCHES = ":switches";

    private static final String KIND_SWITCH = "switch";
    private static final String KIND_PUT = "put";

    private final KeyValueStore mStore;
    private final IdempotentWriter mWriter;
    private final DocumentCache mCache;
    private final MemberTable mMembers;
    private final Scheduler mControl;

    /**
     * @param cache gets each accepted configuration at once
     */
    public ConfigurationEditor(
            KeyValueStore store, DocumentCache cache, MemberTable members, Scheduler control) {
        mStore = store;
        mWriter = new IdempotentWriter(store, control);
        mCache = cache;
        mMembers = members;
        mControl = control;
    }

    /** The faults of a preset, against the backend servers there are now too. */
    public List<String> validate(Preset preset) {
        List<String> faults = new ArrayList<>(PresetValidator.findErrors(preset));
        List<Long> bytes =
                mMembers.all().values().stream()
                        .filter(member -> member.isModelAgent() && !member.leaving())
                        .map(member -> member.memoryBytes())
                        .toList();
        if (faults.isEmpty() && !bytes.isEmpty()) {
            faults.addAll(PresetValidator.findCapacityErrors(preset, bytes));
        }
        return faults;
    }

    /** Stores a preset, replacing the one of the same name. */
    public Single<Result<StoredPreset>> put(Preset preset, String author) {
        List<String> faults = validate(preset);
        if (!faults.isEmpty()) {
            return failed(ResultCode.INVALID_PRESET, String.join("; ", faults));
        }
        String key = PRESET_PREFIX + preset.name();
        return mStore.get(key)
                .observeOn(mControl)
                .flatMap(
                        kv -> {
                            Optional<StoredPreset> before =
                                    kv.flatMap(v -> Json.read(v.value(), StoredPreset.class));
                            return archive(preset.name())
                                    .archiveOldest(
                                            before.map(StoredPreset::audit).orElse(List.of()),
                                            before.map(StoredPreset::archivedPages).orElse(0))
                                    .map(kept -> after(before, kept, preset, author))
                                    .flatMap(
                                            after ->
                                                    write(
                                                            key,
                                                            kv,
                                                            after,
                                                            after.audit(),
                                                            archive(preset.name())));
                        })
                .map(result -> result.map(Written::value))
                .onErrorReturn(e -> unavailable(e));
    }

    private StoredPreset after(
            Optional<StoredPreset> before, AuditPage.Split kept, Preset preset, String author) {
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

    private AuditArchive archive(String name) {
        return new AuditArchive(mStore, mControl, AUDIT_PREFIX + name + "/");
    }

    /**
     * Puts a stored preset in force.
     *
     * @param expectedVersion version that the operator saw, or empty for whichever is in force
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
                .onErrorReturn(e -> unavailable(e));
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
        List<String> faults = validate(stored.preset());
        if (!faults.isEmpty()) {
            return failed(ResultCode.INVALID_PRESET, String.join("; ", faults));
        }
        Optional<Configuration> before = kv.flatMap(v -> Json.read(v.value(), Configuration.class));
        long version = before.map(Configuration::version).orElse(0L);
        if (expectedVersion.isPresent() && expectedVersion.get() != version) {
            return failed(ResultCode.REVISION_CONFLICT, conflict(expectedVersion.get(), before));
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
        AuditArchive archive = archive(SWITCHES);
        return archive.archiveOldest(
                        before.map(Configuration::audit).orElse(List.of()),
                        before.map(Configuration::archivedPages).orElse(0))
                .flatMap(
                        base -> {
                            List<AuditEntry> audit = new ArrayList<>(base.audit());
                            audit.add(entry);
                            Configuration after =
                                    new Configuration(
                                            version + 1,
                                            stored.preset(),
                                            audit,
                                            base.archivedPages());
                            return write(DocumentKeys.CONFIGURATION, kv, after, audit, archive);
                        })
                .map(this::accepted)
                .flatMap(result -> namingTheWinner(result, version));
    }

    private Single<Result<Configuration>> namingTheWinner(
            Result<Configuration> result, long version) {
        boolean lost =
                result.failure()
                        .filter(refusal -> refusal.code() == ResultCode.REVISION_CONFLICT)
                        .isPresent();
        if (!lost) {
            return Single.just(result);
        }
        return configuration()
                .map(now -> Result.failed(ResultCode.REVISION_CONFLICT, conflict(version, now)));
    }

    private Result<Configuration> accepted(Result<Written<Configuration>> result) {
        result.toOptional().ifPresent(written -> mCache.offerVerified(written.stored()));
        return result.map(Written::value);
    }

    private static String conflict(long expected, Optional<Configuration> before) {
        return before.map(
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

    /** A value with the form in which it was stored. */
    private record Written<T>(T value, KeyValue stored) {}

    /** A stored preset. */
    public Single<Optional<StoredPreset>> preset(String name) {
        return mStore.get(PRESET_PREFIX + name)
                .observeOn(mControl)
                .map(kv -> kv.flatMap(v -> Json.read(v.value(), StoredPreset.class)));
    }

    /** All stored presets. */
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

    /** The configuration in force, from the key-value service itself. */
    public Single<Optional<Configuration>> configuration() {
        return mStore.get(DocumentKeys.CONFIGURATION)
                .observeOn(mControl)
                .map(kv -> kv.flatMap(v -> Json.read(v.value(), Configuration.class)));
    }

    /** All changes, oldest first. */
    public Single<List<AuditEntry>> history() {
        // The pages are read last: an entry leaves its document only after its page was written.
        return configuration()
                .map(c -> c.map(Configuration::audit).orElse(List.of()))
                .zipWith(
                        presets().map(ConfigurationEditor::puts),
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
                .map(ConfigurationEditor::distinctByTime);
    }

    private static List<AuditEntry> puts(List<StoredPreset> presets) {
        return presets.stream().flatMap(preset -> preset.audit().stream()).toList();
    }

    private static List<AuditEntry> distinctByTime(List<AuditEntry> entries) {
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

    private static <T> Result<T> unavailable(Throwable e) {
        return Result.failed(ResultCode.STORE_UNAVAILABLE, String.valueOf(e.getMessage()));
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }
}

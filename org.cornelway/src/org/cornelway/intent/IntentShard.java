package org.cornelway.intent;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.config.Json;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;

/**
 * One shard of the intent log: a chain of segments in the key-value service, written in groups.
 *
 * <p>Any agent may write any shard: each write is conditional on the revision last seen, so of two
 * writers one is refused and reads the other's entries first. A write whose answer was lost is
 * issued again under the same condition until its fate is known. While one write is under way the
 * next group gathers.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
final class IntentShard implements IntentLog {
    private static final int SEGMENT_LIMIT_BYTES = 64 << 10;
    private static final long RETRY_MILLIS = 200;
    private static final long MAX_INDEX_AGE_MILLIS = 60_000;

    private final String mPrefix;
    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private final Invariants mInvariants;
    private final IntentSettings mSettings;
    private final IntentIndex mIndex = new IntentIndex();
    private final Map<String, PendingIntent> mBegins = new LinkedHashMap<>();
    private final List<IntentRecord> mClosings = new ArrayList<>();
    private final Map<String, SingleSubject<IntentDecision>> mRunning = new HashMap<>();
    private List<IntentRecord> mHead = new ArrayList<>();
    private long mHeadNumber;
    private long mHeadRevision = KeyValueStore.ABSENT;
    private boolean mBusy;
    private boolean mLoaded;
    private boolean mPumpScheduled;
    private long mSyncedMillis;
    private long mNextWriteMillis;

    IntentShard(
            String prefix,
            KeyValueStore store,
            Scheduler control,
            IntentSettings settings,
            Invariants invariants) {
        mPrefix = prefix;
        mStore = store;
        mControl = control;
        mSettings = settings;
        mInvariants = invariants;
    }

    @Override
    public Single<IntentDecision> begin(IntentRequest request) {
        PendingIntent pending = new PendingIntent(request);
        mBegins.put(request.attempt(), pending);
        long limitMillis = request.deadline().remainingMillis(now());
        mControl.scheduleDirect(() -> expire(pending), limitMillis, TimeUnit.MILLISECONDS);
        pump();
        return pending.decision();
    }

    private void expire(PendingIntent pending) {
        if (!pending.isDecided()) {
            pending.decide(
                    new IntentDecision.NotRecorded("deadline passed before the intent's record"));
        }
    }

    @Override
    public void recordOutcome(IntentRequest request, RecordedOutcome outcome) {
        RecordedOutcome kept =
                outcome.body().length <= mSettings.maxBodyBytes()
                        ? outcome
                        : new RecordedOutcome(
                                outcome.status(), outcome.contentType(), new byte[0], false);
        close(record(IntentRecord.Kind.OUTCOME, request, kept));
        endRunning(request, new IntentDecision.Recorded(outcome));
    }

    @Override
    public void abandon(IntentRequest request) {
        close(record(IntentRecord.Kind.ABANDONED, request, null));
        endRunning(request, new IntentDecision.NotRecorded("the call was not sent"));
    }

    @Override
    public void markOutcomeUnknown(IntentRequest request) {
        endRunning(request, new IntentDecision.OutcomeUnknown("the call's outcome was lost"));
    }

    private void endRunning(IntentRequest request, IntentDecision decision) {
        SingleSubject<IntentDecision> end = mRunning.remove(request.attempt());
        mInvariants.check(end != null, "call " + request.attempt() + " ended but was not granted");
        if (end != null) {
            end.onSuccess(decision);
        }
    }

    private void close(IntentRecord record) {
        mClosings.add(record);
        mIndex.apply(List.of(record), now());
        pump();
    }

    private void pump() {
        if (mBusy) {
            return;
        }
        boolean stale = now() - mSyncedMillis > MAX_INDEX_AGE_MILLIS;
        if (!mLoaded || stale) {
            load();
            return;
        }
        decideKnown();
        if (!mLoaded) {
            load();
            return;
        }
        if (mBegins.isEmpty() && mClosings.isEmpty()) {
            return;
        }
        long waitMillis = mNextWriteMillis - now();
        if (waitMillis > 0) {
            schedulePump(waitMillis);
            return;
        }
        write();
    }

    private void schedulePump(long delayMillis) {
        if (!mPumpScheduled) {
            mPumpScheduled = true;
            mControl.scheduleDirect(
                    () -> {
                        mPumpScheduled = false;
                        pump();
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Decides the begins whose key is known; clears {@code mLoaded} if the index may be behind. */
    private void decideKnown() {
        for (PendingIntent pending : List.copyOf(mBegins.values())) {
            Optional<IntentRecord> known = mIndex.find(pending.request().key());
            if (pending.isDecided()) {
                mBegins.remove(pending.request().attempt());
            } else if (known.isPresent()) {
                decide(pending, known.get());
            }
        }
    }

    private void decide(PendingIntent pending, IntentRecord known) {
        IntentRequest request = pending.request();
        SingleSubject<IntentDecision> running = mRunning.get(known.attempt());
        boolean open = known.kind() == IntentRecord.Kind.INTENT && running == null;
        if (!known.fingerprint().equals(request.fingerprint())) {
            settle(pending, new IntentDecision.KeyReused());
        } else if (running != null) {
            settle(pending, new IntentDecision.Running(running));
        } else if (!open) {
            settle(pending, new IntentDecision.Recorded(known.outcome()));
        } else if (pending.isCheckedAfterReload()) {
            String message = "attempt " + known.attempt() + " was recorded without an outcome";
            settle(pending, new IntentDecision.OutcomeUnknown(message));
        } else {
            pending.setCheckedAfterReload();
            mLoaded = false;
        }
    }

    private void settle(PendingIntent pending, IntentDecision decision) {
        mBegins.remove(pending.request().attempt());
        pending.decide(decision);
    }

    private void load() {
        mBusy = true;
        mStore.list(mPrefix)
                .observeOn(mControl)
                .subscribe(this::loaded, e -> unavailable(String.valueOf(e.getMessage())));
    }

    private void loaded(List<KeyValue> values) {
        mBusy = false;
        mIndex.clear();
        mHead = new ArrayList<>();
        mHeadNumber = 0;
        mHeadRevision = KeyValueStore.ABSENT;
        for (KeyValue value : values) {
            replay(value);
        }
        mIndex.apply(mClosings, now());
        mLoaded = true;
        mSyncedMillis = now();
        deleteExpired(values);
        pump();
    }

    private void replay(KeyValue value) {
        Optional<IntentSegment> read = Json.read(value.value(), IntentSegment.class);
        mInvariants.check(read.isPresent(), "segment " + value.key() + " cannot be read");
        IntentSegment segment = read.orElse(new IntentSegment(true, List.of()));
        long number = Long.parseLong(value.key().substring(mPrefix.length()));
        mIndex.apply(segment.records(), now());
        mHeadNumber = segment.sealed() ? number + 1 : number;
        mHeadRevision = segment.sealed() ? KeyValueStore.ABSENT : value.revision();
        mHead = segment.sealed() ? new ArrayList<>() : new ArrayList<>(segment.records());
    }

    /** Deletes segments long expired; the newest two stay, so that numbers never start again. */
    private void deleteExpired(List<KeyValue> values) {
        for (KeyValue value : values.subList(0, Math.max(0, values.size() - 2))) {
            boolean expired =
                    Json.read(value.value(), IntentSegment.class).stream()
                            .flatMap(segment -> segment.records().stream())
                            .allMatch(r -> r.expiresMillis() + mSettings.retainMillis() < now());
            if (expired) {
                mStore.delete(value.key(), value.revision()).onErrorComplete().subscribe();
            }
        }
    }

    private void write() {
        mBusy = true;
        List<PendingIntent> begins = new ArrayList<>();
        List<IntentRecord> records = new ArrayList<>(mClosings);
        Map<String, PendingIntent> keys = new HashMap<>();
        for (PendingIntent pending : mBegins.values()) {
            if (keys.putIfAbsent(pending.request().key(), pending) == null) {
                begins.add(pending);
                records.add(record(IntentRecord.Kind.INTENT, pending.request(), null));
            }
        }
        List<IntentRecord> all = new ArrayList<>(mHead);
        all.addAll(records);
        byte[] value = Json.write(new IntentSegment(false, all));
        boolean sealed = value.length > SEGMENT_LIMIT_BYTES;
        if (sealed) {
            value = Json.write(new IntentSegment(true, all));
        }
        IntentBatch group = new IntentBatch(begins, records, all, value, sealed);
        mNextWriteMillis = now() + mSettings.writeIntervalMillis();
        swap(group);
    }

    private void swap(IntentBatch group) {
        mStore.compareAndSwap(key(), mHeadRevision, group.segmentValue(), KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .subscribe(result -> swapped(group, result));
    }

    private void swapped(IntentBatch group, SwapResult result) {
        if (result instanceof SwapResult.Swapped swapped) {
            commit(group, swapped.revision());
        } else if (result instanceof SwapResult.Conflict) {
            reloadAfter(group);
        } else if (result instanceof SwapResult.NotSent notSent && !group.isInDoubt()) {
            unavailable(notSent.reason());
        } else {
            group.setInDoubt();
            mControl.scheduleDirect(() -> swap(group), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void commit(IntentBatch group, long revision) {
        mSyncedMillis = now();
        mHead = group.sealed() ? new ArrayList<>() : new ArrayList<>(group.segmentRecords());
        mHeadNumber = group.sealed() ? mHeadNumber + 1 : mHeadNumber;
        mHeadRevision = group.sealed() ? KeyValueStore.ABSENT : revision;
        mIndex.apply(group.newRecords(), now());
        recorded(group);
        mBusy = false;
        pump();
    }

    private void recorded(IntentBatch group) {
        mClosings.removeAll(group.newRecords());
        mIndex.apply(mClosings, now());
        for (PendingIntent pending : group.pendingIntents()) {
            mBegins.remove(pending.request().attempt());
            grant(pending);
        }
    }

    private void grant(PendingIntent pending) {
        IntentRequest request = pending.request();
        if (pending.isDecided()) {
            // Its caller was told "not run" while the record was in doubt; the key is freed.
            mClosings.add(record(IntentRecord.Kind.ABANDONED, request, null));
            mIndex.apply(mClosings, now());
            return;
        }
        mInvariants.check(
                mRunning.values().stream().noneMatch(end -> end.hasValue()),
                "an ended call is still listed as running");
        mRunning.put(request.attempt(), SingleSubject.create());
        pending.decide(new IntentDecision.Granted());
    }

    /** Reads the log after a conflict: a group whose answer was lost may be part of it. */
    private void reloadAfter(IntentBatch group) {
        mStore.list(mPrefix)
                .observeOn(mControl)
                .subscribe(
                        values -> {
                            if (group.isInDoubt() && isPart(group, values)) {
                                recorded(group);
                            }
                            loaded(values);
                        },
                        e ->
                                mControl.scheduleDirect(
                                        () -> reloadAfter(group),
                                        RETRY_MILLIS,
                                        TimeUnit.MILLISECONDS));
    }

    private static boolean isPart(IntentBatch group, List<KeyValue> values) {
        IntentRecord first = group.newRecords().get(0);
        return values.stream()
                .flatMap(value -> Json.read(value.value(), IntentSegment.class).stream())
                .flatMap(segment -> segment.records().stream())
                .anyMatch(r -> r.kind() == first.kind() && r.attempt().equals(first.attempt()));
    }

    /** Refuses what waits, as nothing of it can have been recorded; outcomes are kept. */
    private void unavailable(String reason) {
        mBusy = false;
        mLoaded = false;
        List.copyOf(mBegins.values())
                .forEach(pending -> settle(pending, new IntentDecision.NotRecorded(reason)));
        if (!mClosings.isEmpty()) {
            schedulePump(RETRY_MILLIS);
        }
    }

    int indexSize() {
        mIndex.expire(now());
        return mIndex.size();
    }

    private IntentRecord record(
            IntentRecord.Kind kind, IntentRequest request, RecordedOutcome outcome) {
        return new IntentRecord(
                kind,
                request.key(),
                request.fingerprint(),
                request.attempt(),
                now() + mSettings.retainMillis(),
                outcome);
    }

    private String key() {
        return mPrefix + String.format("%010d", mHeadNumber);
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }
}

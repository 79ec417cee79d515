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
 * One shard of the intent log, stored as numbered segments in the key-value service and written in
 * batches. New records are added to the last segment, the open one, until it is full and sealed.
 *
 * <p>Any agent may write to any shard. Each write is conditional on the revision last seen, so of
 * two concurrent writers one is refused and reads the other's records before it tries again. A
 * write whose outcome is unknown is repeated under the same condition until the outcome is known.
 * Only one write is in progress at a time; new records wait for the next batch.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
final class IntentShard implements IntentLog {
    private static final int SEAL_THRESHOLD_BYTES = 64 << 10;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final long MAX_INDEX_AGE_MILLIS = 60_000;

    private final String mPrefix;
    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private final Invariants mInvariants;
    private final IntentSettings mSettings;
    private final IntentIndex mIndex = new IntentIndex();
    private final Map<String, PendingIntent> mPendingIntents = new LinkedHashMap<>();
    private final List<IntentRecord> mUnwrittenRecords = new ArrayList<>();
    private final Map<String, SingleSubject<IntentDecision>> mRunningCalls = new HashMap<>();
    private List<IntentRecord> mOpenSegmentRecords = new ArrayList<>();
    private long mOpenSegmentNumber;
    private long mOpenSegmentRevision = KeyValueStore.ABSENT;
    private boolean mStoreCallInProgress;
    private boolean mIndexLoaded;
    private boolean mProcessingScheduled;
    private long mLastSyncMillis;
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
        mPendingIntents.put(request.attempt(), pending);
        long remainingMillis = request.deadline().remainingMillis(now());
        mControl.scheduleDirect(() -> onDeadline(pending), remainingMillis, TimeUnit.MILLISECONDS);
        processPending();
        return pending.decision();
    }

    private void onDeadline(PendingIntent pending) {
        if (!pending.isDecided()) {
            pending.decide(
                    new IntentDecision.NotRecorded("deadline passed before the intent's record"));
        }
    }

    @Override
    public void recordOutcome(IntentRequest request, RecordedOutcome outcome) {
        RecordedOutcome retained =
                outcome.body().length <= mSettings.maxBodyBytes()
                        ? outcome
                        : new RecordedOutcome(
                                outcome.status(), outcome.contentType(), new byte[0], false);
        append(record(IntentRecord.Kind.OUTCOME, request, retained));
        completeRunning(request, new IntentDecision.Recorded(outcome));
    }

    @Override
    public void abandon(IntentRequest request) {
        append(record(IntentRecord.Kind.ABANDONED, request, null));
        completeRunning(request, new IntentDecision.NotRecorded("the call was not sent"));
    }

    @Override
    public void markOutcomeUnknown(IntentRequest request) {
        completeRunning(request, new IntentDecision.OutcomeUnknown("the call's outcome was lost"));
    }

    private void completeRunning(IntentRequest request, IntentDecision decision) {
        SingleSubject<IntentDecision> finalDecision = mRunningCalls.remove(request.attempt());
        mInvariants.check(
                finalDecision != null,
                "call " + request.attempt() + " has ended but was not granted");
        if (finalDecision != null) {
            finalDecision.onSuccess(decision);
        }
    }

    private void append(IntentRecord record) {
        mUnwrittenRecords.add(record);
        mIndex.apply(List.of(record), now());
        processPending();
    }

    private void processPending() {
        if (mStoreCallInProgress) {
            return;
        }
        boolean indexOutdated = now() - mLastSyncMillis > MAX_INDEX_AGE_MILLIS;
        if (!mIndexLoaded || indexOutdated) {
            load();
            return;
        }
        decideFromIndex();
        if (!mIndexLoaded) {
            load();
            return;
        }
        if (mPendingIntents.isEmpty() && mUnwrittenRecords.isEmpty()) {
            return;
        }
        long waitMillis = mNextWriteMillis - now();
        if (waitMillis > 0) {
            scheduleProcessing(waitMillis);
            return;
        }
        writeNextBatch();
    }

    private void scheduleProcessing(long delayMillis) {
        if (!mProcessingScheduled) {
            mProcessingScheduled = true;
            mControl.scheduleDirect(
                    () -> {
                        mProcessingScheduled = false;
                        processPending();
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Decides the pending requests whose key is in the index. Clears {@code mIndexLoaded} if the
     * shard must be read again first, to find an outcome that another agent may have written.
     */
    private void decideFromIndex() {
        for (PendingIntent pending : List.copyOf(mPendingIntents.values())) {
            Optional<IntentRecord> existing = mIndex.find(pending.request().key());
            if (pending.isDecided()) {
                mPendingIntents.remove(pending.request().attempt());
            } else if (existing.isPresent()) {
                decide(pending, existing.get());
            }
        }
    }

    private void decide(PendingIntent pending, IntentRecord existing) {
        IntentRequest request = pending.request();
        SingleSubject<IntentDecision> running = mRunningCalls.get(existing.attempt());
        boolean outcomeMissing = existing.kind() == IntentRecord.Kind.INTENT && running == null;
        if (!existing.fingerprint().equals(request.fingerprint())) {
            complete(pending, new IntentDecision.KeyReused());
        } else if (running != null) {
            complete(pending, new IntentDecision.Running(running));
        } else if (!outcomeMissing) {
            complete(pending, new IntentDecision.Recorded(existing.outcome()));
        } else if (pending.isReloadRequested()) {
            String message = "attempt " + existing.attempt() + " was recorded without an outcome";
            complete(pending, new IntentDecision.OutcomeUnknown(message));
        } else {
            pending.markReloadRequested();
            mIndexLoaded = false;
        }
    }

    private void complete(PendingIntent pending, IntentDecision decision) {
        mPendingIntents.remove(pending.request().attempt());
        pending.decide(decision);
    }

    private void load() {
        mStoreCallInProgress = true;
        mStore.list(mPrefix)
                .observeOn(mControl)
                .subscribe(this::onLoaded, e -> onStoreUnavailable(String.valueOf(e.getMessage())));
    }

    private void onLoaded(List<KeyValue> values) {
        mStoreCallInProgress = false;
        mIndex.clear();
        mOpenSegmentRecords = new ArrayList<>();
        mOpenSegmentNumber = 0;
        mOpenSegmentRevision = KeyValueStore.ABSENT;
        for (KeyValue value : values) {
            replay(value);
        }
        mIndex.apply(mUnwrittenRecords, now());
        mIndexLoaded = true;
        mLastSyncMillis = now();
        deleteExpired(values);
        processPending();
    }

    private void replay(KeyValue value) {
        Optional<IntentSegment> read = Json.read(value.value(), IntentSegment.class);
        mInvariants.check(read.isPresent(), "intent segment " + value.key() + " cannot be parsed");
        IntentSegment segment = read.orElse(new IntentSegment(true, List.of()));
        long number = Long.parseLong(value.key().substring(mPrefix.length()));
        mIndex.apply(segment.records(), now());
        mOpenSegmentNumber = segment.sealed() ? number + 1 : number;
        mOpenSegmentRevision = segment.sealed() ? KeyValueStore.ABSENT : value.revision();
        mOpenSegmentRecords =
                segment.sealed() ? new ArrayList<>() : new ArrayList<>(segment.records());
    }

    /**
     * Deletes segments whose records all expired at least one retention time ago. Keeps the newest
     * two segments, so that the numbering does not start again at 0.
     */
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

    private void writeNextBatch() {
        mStoreCallInProgress = true;
        List<PendingIntent> pendingIntents = new ArrayList<>();
        List<IntentRecord> records = new ArrayList<>(mUnwrittenRecords);
        // Of several requests with one key, the first is written; its record decides the others.
        Map<String, PendingIntent> keys = new HashMap<>();
        for (PendingIntent pending : mPendingIntents.values()) {
            if (keys.putIfAbsent(pending.request().key(), pending) == null) {
                pendingIntents.add(pending);
                records.add(record(IntentRecord.Kind.INTENT, pending.request(), null));
            }
        }
        List<IntentRecord> segmentRecords = new ArrayList<>(mOpenSegmentRecords);
        segmentRecords.addAll(records);
        byte[] value = Json.write(new IntentSegment(false, segmentRecords));
        boolean sealed = value.length > SEAL_THRESHOLD_BYTES;
        if (sealed) {
            value = Json.write(new IntentSegment(true, segmentRecords));
        }
        IntentBatch batch = new IntentBatch(pendingIntents, records, segmentRecords, value, sealed);
        mNextWriteMillis = now() + mSettings.writeIntervalMillis();
        writeBatch(batch);
    }

    private void writeBatch(IntentBatch batch) {
        mStore.compareAndSwap(
                        openSegmentKey(),
                        mOpenSegmentRevision,
                        batch.segmentValue(),
                        KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .subscribe(result -> onSwapResult(batch, result));
    }

    private void onSwapResult(IntentBatch batch, SwapResult result) {
        if (result instanceof SwapResult.Swapped swapped) {
            commit(batch, swapped.revision());
        } else if (result instanceof SwapResult.Conflict) {
            reloadAfterConflict(batch);
        } else if (result instanceof SwapResult.NotApplied notApplied && !batch.isInDoubt()) {
            onStoreUnavailable(notApplied.reason());
        } else {
            batch.markInDoubt();
            mControl.scheduleDirect(
                    () -> writeBatch(batch), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void commit(IntentBatch batch, long revision) {
        mLastSyncMillis = now();
        mOpenSegmentRecords =
                batch.sealed() ? new ArrayList<>() : new ArrayList<>(batch.segmentRecords());
        mOpenSegmentNumber = batch.sealed() ? mOpenSegmentNumber + 1 : mOpenSegmentNumber;
        mOpenSegmentRevision = batch.sealed() ? KeyValueStore.ABSENT : revision;
        mIndex.apply(batch.newRecords(), now());
        onRecorded(batch);
        mStoreCallInProgress = false;
        processPending();
    }

    private void onRecorded(IntentBatch batch) {
        mUnwrittenRecords.removeAll(batch.newRecords());
        mIndex.apply(mUnwrittenRecords, now());
        for (PendingIntent pending : batch.pendingIntents()) {
            mPendingIntents.remove(pending.request().attempt());
            grant(pending);
        }
    }

    private void grant(PendingIntent pending) {
        IntentRequest request = pending.request();
        if (pending.isDecided()) {
            // The caller was told "not run" before the write was confirmed, so the key is released.
            mUnwrittenRecords.add(record(IntentRecord.Kind.ABANDONED, request, null));
            mIndex.apply(mUnwrittenRecords, now());
            return;
        }
        mInvariants.check(
                mRunningCalls.values().stream().noneMatch(decision -> decision.hasValue()),
                "an ended call is still listed as running");
        mRunningCalls.put(request.attempt(), SingleSubject.create());
        pending.decide(new IntentDecision.Granted());
    }

    /**
     * Reads the shard again after a conflict. It contains the batch if an earlier write took effect
     * and its answer was lost.
     */
    private void reloadAfterConflict(IntentBatch batch) {
        mStore.list(mPrefix)
                .observeOn(mControl)
                .subscribe(
                        values -> {
                            if (batch.isInDoubt() && containsBatch(batch, values)) {
                                onRecorded(batch);
                            }
                            onLoaded(values);
                        },
                        e ->
                                mControl.scheduleDirect(
                                        () -> reloadAfterConflict(batch),
                                        RETRY_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS));
    }

    /** Returns whether a batch is stored. A batch is written atomically, so one record suffices. */
    private static boolean containsBatch(IntentBatch batch, List<KeyValue> values) {
        IntentRecord first = batch.newRecords().get(0);
        return values.stream()
                .flatMap(value -> Json.read(value.value(), IntentSegment.class).stream())
                .flatMap(segment -> segment.records().stream())
                .anyMatch(r -> r.kind() == first.kind() && r.attempt().equals(first.attempt()));
    }

    /**
     * Refuses all pending requests, none of which can have been recorded. The records of calls that
     * have ended are kept and written later.
     */
    private void onStoreUnavailable(String reason) {
        mStoreCallInProgress = false;
        mIndexLoaded = false;
        List.copyOf(mPendingIntents.values())
                .forEach(pending -> complete(pending, new IntentDecision.NotRecorded(reason)));
        if (!mUnwrittenRecords.isEmpty()) {
            scheduleProcessing(RETRY_DELAY_MILLIS);
        }
    }

    int removeExpiredAndCount() {
        mIndex.removeExpired(now());
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

    private String openSegmentKey() {
        return mPrefix + String.format("%010d", mOpenSegmentNumber);
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }
}

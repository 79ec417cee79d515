package org.cornelway.intent;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.SwapResult;

/**
 * Intent log with one value in the key-value service for each idempotency key.
 *
 * <p>It writes once for each intent and once for each outcome, and is the baseline that {@link
 * ShardedIntentLog} is compared with. Confined to the control thread.
 */
public final class PerKeyIntentLog implements IntentLog {
    private final String mPrefix;
    private final KeyValueStore mStore;
    private final Scheduler mControl;
    private final IntentSettings mSettings;
    private final Map<String, Long> mRevisionByAttempt = new HashMap<>();

    /**
     * @param service the plain service whose calls are recorded
     */
    public PerKeyIntentLog(
            String service, KeyValueStore store, Scheduler control, IntentSettings settings) {
        mPrefix = "cornelway/intents-by-key/" + service + "/";
        mStore = store;
        mControl = control;
        mSettings = settings;
    }

    @Override
    public Single<IntentDecision> begin(IntentRequest request) {
        byte[] value = segmentValue(IntentRecord.Kind.INTENT, request, null);
        return mStore.compareAndSwap(
                        mPrefix + request.key(),
                        KeyValueStore.ABSENT,
                        value,
                        KeyValueStore.NO_LEASE)
                .observeOn(mControl)
                .map(result -> decide(request, result));
    }

    private IntentDecision decide(IntentRequest request, SwapResult result) {
        if (result instanceof SwapResult.Swapped swapped) {
            mRevisionByAttempt.put(request.attempt(), swapped.revision());
            return new IntentDecision.Granted();
        }
        if (result instanceof SwapResult.Conflict conflict) {
            Optional<IntentRecord> record =
                    conflict.current()
                            .flatMap(kv -> Json.read(kv.value(), IntentSegment.class))
                            .map(segment -> segment.records().get(0));
            return record.map(existing -> decideFromRecord(request, existing))
                    .orElse(new IntentDecision.OutcomeUnknown("no record"));
        }
        return new IntentDecision.NotRecorded("the key-value service did not answer");
    }

    private static IntentDecision decideFromRecord(IntentRequest request, IntentRecord record) {
        if (!record.fingerprint().equals(request.fingerprint())) {
            return new IntentDecision.KeyReused();
        }
        return record.kind() == IntentRecord.Kind.OUTCOME
                ? new IntentDecision.Recorded(record.outcome())
                : new IntentDecision.OutcomeUnknown("recorded without an outcome");
    }

    @Override
    public void recordOutcome(IntentRequest request, RecordedOutcome outcome) {
        Long revision = mRevisionByAttempt.remove(request.attempt());
        byte[] value = segmentValue(IntentRecord.Kind.OUTCOME, request, outcome);
        mStore.compareAndSwap(mPrefix + request.key(), revision, value, KeyValueStore.NO_LEASE)
                .subscribe();
    }

    @Override
    public void abandon(IntentRequest request) {
        Long revision = mRevisionByAttempt.remove(request.attempt());
        mStore.delete(mPrefix + request.key(), revision).onErrorComplete().subscribe();
    }

    @Override
    public void markOutcomeUnknown(IntentRequest request) {
        mRevisionByAttempt.remove(request.attempt());
    }

    private byte[] segmentValue(
            IntentRecord.Kind kind, IntentRequest request, RecordedOutcome outcome) {
        long expiresMillis = mControl.now(TimeUnit.MILLISECONDS) + mSettings.retainMillis();
        IntentRecord record =
                new IntentRecord(
                        kind,
                        request.key(),
                        request.fingerprint(),
                        request.attempt(),
                        expiresMillis,
                        outcome);
        return Json.write(new IntentSegment(false, List.of(record)));
    }
}

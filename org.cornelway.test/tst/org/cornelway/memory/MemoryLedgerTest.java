package org.cornelway.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.cornelway.invariant.Invariants;
import org.testng.annotations.Test;

/**
 * Compares the ledger with a plain map whose values are summed at each step, and tests that memory
 * that the engine already holds is counted.
 */
public final class MemoryLedgerTest {
    private static final long CAPACITY_BYTES = 1_000;

    @Test
    public void agreesWithNaiveSum() {
        Random random = new Random(7);
        MemoryLedger ledger = new MemoryLedger(CAPACITY_BYTES, Invariants.strict());
        Map<ReservationKey, Long> expected = new HashMap<>();
        for (int step = 0; step < 20_000; step++) {
            ReservationKey key =
                    new ReservationKey("m" + random.nextInt(8), "a" + random.nextInt(3));
            long bytes = 1 + random.nextInt(400);
            switch (random.nextInt(3)) {
                case 0 -> {
                    long used = expected.values().stream().mapToLong(Long::longValue).sum();
                    boolean fits = !expected.containsKey(key) && used + bytes <= CAPACITY_BYTES;
                    assertThat(ledger.reserve(key, bytes).isPresent()).isEqualTo(fits);
                    if (fits) {
                        expected.put(key, bytes);
                    }
                }
                case 1 -> {
                    ledger.release(key);
                    expected.remove(key);
                }
                default -> {
                    ledger.releaseModel(key.model());
                    expected.keySet().removeIf(k -> k.model().equals(key.model()));
                }
            }
            long used = expected.values().stream().mapToLong(Long::longValue).sum();
            assertThat(ledger.reservedBytes()).isEqualTo(used);
        }
    }

    @Test
    public void heldMemoryBlocksReservations() {
        MemoryLedger ledger = new MemoryLedger(CAPACITY_BYTES, Invariants.strict());
        ledger.recordHeld(ReservationKey.ofModel("found"), CAPACITY_BYTES + 1);
        assertThat(ledger.freeBytes()).isNegative();
        assertThat(ledger.reserve(ReservationKey.ofModel("new"), 1)).isEmpty();
    }
}

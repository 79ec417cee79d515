package org.cornelway.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.cornelway.invariant.Invariants;
import org.testng.annotations.Test;

/** The ledger against a plain map that adds everything up each time. */
public final class MemoryLedgerTest {
    private static final long CAPACITY = 1_000;

    @Test
    public void agreesWithNaiveSum() {
        Random random = new Random(7);
        MemoryLedger ledger = new MemoryLedger(CAPACITY, Invariants.strict());
        Map<ReservationKey, Long> naive = new HashMap<>();
        for (int step = 0; step < 20_000; step++) {
            ReservationKey key =
                    new ReservationKey("m" + random.nextInt(8), "a" + random.nextInt(3));
            long bytes = 1 + random.nextInt(400);
            switch (random.nextInt(3)) {
                case 0 -> {
                    long used = naive.values().stream().mapToLong(Long::longValue).sum();
                    boolean fits = !naive.containsKey(key) && used + bytes <= CAPACITY;
                    assertThat(ledger.reserve(key, bytes).isPresent()).isEqualTo(fits);
                    if (fits) {
                        naive.put(key, bytes);
                    }
                }
                case 1 -> {
                    ledger.release(key);
                    naive.remove(key);
                }
                default -> {
                    ledger.releaseModel(key.model());
                    naive.keySet().removeIf(k -> k.model().equals(key.model()));
                }
            }
            long used = naive.values().stream().mapToLong(Long::longValue).sum();
            assertThat(ledger.reservedBytes()).isEqualTo(used);
        }
    }

    @Test
    public void adoptedMemoryLeavesNoRoom() {
        MemoryLedger ledger = new MemoryLedger(CAPACITY, Invariants.strict());
        ledger.adopt(ReservationKey.ofModel("found"), CAPACITY + 1);
        assertThat(ledger.freeBytes()).isNegative();
        assertThat(ledger.reserve(ReservationKey.ofModel("new"), 1)).isEmpty();
    }
}

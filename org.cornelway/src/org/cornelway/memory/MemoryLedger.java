package org.cornelway.memory;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelway.invariant.Invariants;

/**
 * Reserves a backend server's memory before anything is loaded into it.
 *
 * <p>Invariant: the sum of all reservations never exceeds the capacity, except for memory that the
 * engine was found to hold at start. A reservation outlives the order that asked for it until the
 * engine confirms the unload.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
public final class MemoryLedger {
    private final Map<ReservationKey, Long> mReservations = new HashMap<>();
    private final Invariants mInvariants;
    private long mCapacityBytes;
    private long mReservedBytes;

    /**
     * @param capacityBytes memory the engine may use, in bytes
     */
    public MemoryLedger(long capacityBytes, Invariants invariants) {
        mCapacityBytes = capacityBytes;
        mInvariants = invariants;
    }

    /** Adopts what the engine was found to hold, whether or not it fits. */
    public void adopt(ReservationKey key, long bytes) {
        release(key);
        mReservations.put(key, bytes);
        mReservedBytes += bytes;
    }

    /** Sets the capacity that the engine reports. */
    public void setCapacityBytes(long capacityBytes) {
        mCapacityBytes = capacityBytes;
    }

    /**
     * Reserves memory.
     *
     * @return the bytes left, or empty if it does not fit or is reserved already
     */
    public Optional<Long> reserve(ReservationKey key, long bytes) {
        if (mReservations.containsKey(key) || bytes > freeBytes()) {
            return Optional.empty();
        }
        mReservations.put(key, bytes);
        mReservedBytes += bytes;
        mInvariants.check(
                mReservedBytes <= mCapacityBytes,
                "reserved " + mReservedBytes + " bytes of " + mCapacityBytes);
        return Optional.of(freeBytes());
    }

    /** Releases a reservation once the engine confirmed that the memory is free. */
    public void release(ReservationKey key) {
        Long bytes = mReservations.remove(key);
        if (bytes != null) {
            mReservedBytes -= bytes;
        }
    }

    /** Releases a model and its adapters. */
    public void releaseModel(String model) {
        mReservations.keySet().stream()
                .filter(key -> key.model().equals(model))
                .toList()
                .forEach(this::release);
    }

    /** Bytes not reserved; negative when more was adopted than fits. */
    public long freeBytes() {
        return mCapacityBytes - mReservedBytes;
    }

    /** Bytes reserved. */
    public long reservedBytes() {
        return mReservedBytes;
    }

    /** Bytes that the engine has. */
    public long capacityBytes() {
        return mCapacityBytes;
    }
}

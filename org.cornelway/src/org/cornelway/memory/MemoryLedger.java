package org.cornelway.memory;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelway.invariant.Invariants;

/**
 * Reserves memory of a backend server before a model or an adapter is loaded into it.
 *
 * <p>Invariant: the sum of all reservations never exceeds the capacity, except for memory that the
 * engine already held when its state was read. A reservation outlives the order that it was made
 * for: it is released only after the engine has confirmed the unload.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
public final class MemoryLedger {
    private final Map<ReservationKey, Long> mReservations = new HashMap<>();
    private final Invariants mInvariants;
    private long mCapacityBytes;
    private long mReservedBytes;

    /**
     * @param capacityBytes memory that the engine may use, in bytes
     */
    public MemoryLedger(long capacityBytes, Invariants invariants) {
        mCapacityBytes = capacityBytes;
        mInvariants = invariants;
    }

    /** Records memory that the engine already holds, whether or not it fits. */
    public void recordHeld(ReservationKey key, long bytes) {
        release(key);
        mReservations.put(key, bytes);
        mReservedBytes += bytes;
    }

    /** Sets the capacity that the engine reports. */
    public void setCapacityBytes(long capacityBytes) {
        mCapacityBytes = capacityBytes;
    }

    /**
     * Reserves memory for a model or an adapter.
     *
     * @return the bytes that are still free; empty if the free memory does not suffice or the key
     *     already has a reservation
     */
    public Optional<Long> reserve(ReservationKey key, long bytes) {
        if (mReservations.containsKey(key) || bytes > freeBytes()) {
            return Optional.empty();
        }
        mReservations.put(key, bytes);
        mReservedBytes += bytes;
        mInvariants.check(
                mReservedBytes <= mCapacityBytes,
                "reserved " + mReservedBytes + " bytes, but the capacity is " + mCapacityBytes);
        return Optional.of(freeBytes());
    }

    /** Releases a reservation after the engine has confirmed that the memory is free. */
    public void release(ReservationKey key) {
        Long bytes = mReservations.remove(key);
        if (bytes != null) {
            mReservedBytes -= bytes;
        }
    }

    /** Releases the reservations of a model and its adapters. */
    public void releaseModel(String model) {
        mReservations.keySet().stream()
                .filter(key -> key.model().equals(model))
                .toList()
                .forEach(this::release);
    }

    /** Returns the bytes not reserved; negative if the engine holds more than the capacity. */
    public long freeBytes() {
        return mCapacityBytes - mReservedBytes;
    }

    /** Returns the bytes reserved. */
    public long reservedBytes() {
        return mReservedBytes;
    }

    /** Returns the capacity of the engine's memory in bytes. */
    public long capacityBytes() {
        return mCapacityBytes;
    }
}

package org.cornelway.traffic;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory that all incomplete responses of one event loop hold together.
 *
 * <p>A response that needs more than is left takes it from the largest one, which has to end; a
 * response that would be the largest itself gets no more. A server that sends bytes without end
 * thus ends its own calls and not those of other servers.
 *
 * <p>Invariant: the shares together never exceed the limit. Confined to the event loop.
 */
final class ResponseMemory {
    /** The rest of the heap is left to requests, to what is being sent, and to the process. */
    private static final int HEAP_FRACTION = 4;

    private final long mLimitBytes;

    /** The shares that hold memory. */
    private final Set<Share> mShares = new LinkedHashSet<>();

    private long mHeldBytes;

    /**
     * @param limitBytes bytes that all shares may hold together
     */
    ResponseMemory(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /** Returns a limit that is a fraction of this process's heap. */
    static ResponseMemory ofHeap() {
        return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_FRACTION);
    }

    /** Returns the bytes that all shares hold. */
    long heldBytes() {
        return mHeldBytes;
    }

    /**
     * Returns a share that holds nothing yet.
     *
     * @param onRevoked ends the response; called after its share was given to another response
     */
    Share newShare(Runnable onRevoked) {
        return new Share(onRevoked);
    }

    /** Memory of one response. Confined to the event loop. */
    final class Share {
        private final Runnable mOnRevoked;
        private long mBytes;

        private Share(Runnable onRevoked) {
            mOnRevoked = onRevoked;
        }

        /**
         * Sets the bytes that the response holds.
         *
         * @return false if there is no memory for them; the share is then empty, and the caller has
         *     to end the response
         */
        boolean resize(long bytes) {
            while (mHeldBytes - mBytes + bytes > mLimitBytes) {
                Share largest =
                        mShares.stream()
                                .filter(share -> share != this)
                                .max(Comparator.comparingLong(share -> share.mBytes))
                                .orElse(this);
                if (largest.mBytes <= bytes) {
                    release();
                    return false;
                }
                largest.release();
                largest.mOnRevoked.run();
            }
            set(bytes);
            return true;
        }

        /** Gives up all memory; the response has ended. */
        void release() {
            set(0);
        }

        private void set(long bytes) {
            mHeldBytes += bytes - mBytes;
            mBytes = bytes;
            if (bytes > 0) {
                mShares.add(this);
            } else {
                mShares.remove(this);
            }
        }
    }
}

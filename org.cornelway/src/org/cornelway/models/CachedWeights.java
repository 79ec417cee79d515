package org.cornelway.models;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.EngineReport;

/**
 * Tracks which models' weights are cached in the memory and on the disk of an engine's host.
 *
 * <p>Combines the latest report with the loads completed since then. Confined to the control
 * thread.
 */
final class CachedWeights {
    private final double mHostMemoryMegabytes;
    private final Set<String> mInMemory;
    private final Set<String> mOnDisk;

    /**
     * Starts with the copies that the engine's directory record lists.
     *
     * @param hostMemoryMegabytes host memory available for cached copies
     */
    CachedWeights(ServerRecord server, double hostMemoryMegabytes) {
        mHostMemoryMegabytes = hostMemoryMegabytes;
        mInMemory = new LinkedHashSet<>(server.inMemory());
        mOnDisk = new HashSet<>(server.onDisk());
    }

    /** Returns the models with a copy in host memory, the oldest copy first. */
    Set<String> inMemory() {
        return mInMemory;
    }

    /** Returns the models with a copy on disk, in no particular order. */
    Set<String> onDisk() {
        return mOnDisk;
    }

    /** Whether there is a copy of a model in host memory or on disk. */
    boolean contains(String model) {
        return mInMemory.contains(model) || mOnDisk.contains(model);
    }

    /**
     * Replaces the contents with those of a report. The copies in memory that remain keep the order
     * in which they were made, and new ones count as made later.
     */
    void update(EngineReport report) {
        mInMemory.retainAll(report.inMemory());
        mInMemory.addAll(report.inMemory());
        mOnDisk.clear();
        mOnDisk.addAll(report.onDisk());
    }

    /**
     * Records a completed load. It leaves a copy on disk and one in host memory, where the oldest
     * copies are evicted to make room; all copies are assumed to be as large as this one.
     *
     * @param megabytes size of the model's weights
     */
    void recordLoad(String model, double megabytes) {
        mOnDisk.add(model);
        mInMemory.remove(model);
        mInMemory.add(model);
        double freeMegabytes = mHostMemoryMegabytes;
        List<String> newestFirst = new ArrayList<>(mInMemory);
        Collections.reverse(newestFirst);
        for (String cached : newestFirst) {
            freeMegabytes -= megabytes;
            if (freeMegabytes < 0) {
                mInMemory.remove(cached);
            }
        }
    }
}

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
 * The copies of weights that an engine has at hand: last reported, and loaded since.
 *
 * <p>Confined to the control thread.
 */
final class CachedWeights {
    private final double mHostMegabytes;
    private final Set<String> mInMemory;
    private final Set<String> mOnDisk;

    /**
     * @param hostMegabytes host memory for copies
     */
    CachedWeights(ServerRecord server, double hostMegabytes) {
        mHostMegabytes = hostMegabytes;
        mInMemory = new LinkedHashSet<>(server.inMemory());
        mOnDisk = new HashSet<>(server.onDisk());
    }

    Set<String> inMemory() {
        return mInMemory;
    }

    Set<String> onDisk() {
        return mOnDisk;
    }

    /** Takes over a report, keeping the order in which copies were made. */
    void update(EngineReport report) {
        mInMemory.retainAll(report.inMemory());
        mInMemory.addAll(report.inMemory());
        mOnDisk.clear();
        mOnDisk.addAll(report.onDisk());
    }

    /** A load leaves a copy on the disk and one in memory, where the oldest make room. */
    void recordLoad(String model, double megabytes) {
        mOnDisk.add(model);
        mInMemory.remove(model);
        mInMemory.add(model);
        double room = mHostMegabytes;
        List<String> newestFirst = new ArrayList<>(mInMemory);
        Collections.reverse(newestFirst);
        for (String each : newestFirst) {
            room -= megabytes;
            if (room < 0) {
                mInMemory.remove(each);
            }
        }
    }
}

package org.cornelway.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ReportedLoad;

/**
 * What this process knows of each backend server from its own calls.
 *
 * <p>A restart of a server begins anew. Confined to the traffic thread.
 */
public final class ServerLoads {
    /** A load that a server told longer ago says nothing about now. */
    private static final long LOAD_AGE_MILLIS = 400;

    /** First time for which a server that failed to answer is left out; doubles up to the last. */
    private static final long FIRST_SUSPICION_MILLIS = 300;

    private static final long LAST_SUSPICION_MILLIS = 2_400;

    /** Silence of a server that streams to this process after which it is left out. */
    private static final long SILENCE_MILLIS = 700;

    /** Weight of the newest call in a server's share of failures. */
    private static final double ERROR_WEIGHT = 0.12;

    private static final double PERCENT = 100;

    private final Clock mClock;
    private final String mZone;
    private final Map<ServerIncarnation, Entry> mEntries = new HashMap<>();

    /** Counts of one life of a server. */
    private static final class Entry {
        private int mInFlight;
        private int mStreaming;
        private ReportedLoad mLoad = new ReportedLoad(0, 0, 1, 100);
        private long mLoadMillis = Long.MIN_VALUE / 2;
        private long mHeardMillis;
        private int mFailures;
        private double mErrors;
        private Deadline mSuspectUntil = new Deadline(0);
    }

    /**
     * @param zone availability zone of this process
     */
    public ServerLoads(Clock clock, String zone) {
        mClock = clock;
        mZone = zone;
    }

    private Entry entry(ServerIncarnation life) {
        return mEntries.computeIfAbsent(life, key -> new Entry());
    }

    /** Notes that a call goes to a server. */
    public void callStarted(ServerIncarnation life) {
        entry(life).mInFlight++;
    }

    /** Notes that a call to a server has ended in whatever way. */
    public void callEnded(ServerIncarnation life) {
        Entry entry = entry(life);
        entry.mInFlight = Math.max(0, entry.mInFlight - 1);
    }

    /** Notes that a server streams one more answer, or one fewer. */
    public void addStreams(ServerIncarnation life, int change) {
        Entry entry = entry(life);
        entry.mStreaming = Math.max(0, entry.mStreaming + change);
        entry.mHeardMillis = mClock.nowMillis();
    }

    /** Notes that bytes came from a server. */
    public void recordActivity(ServerIncarnation life) {
        entry(life).mHeardMillis = mClock.nowMillis();
    }

    /** Takes over the load that a server told. */
    public void recordReportedLoad(ServerIncarnation life, ReportedLoad load) {
        Entry entry = entry(life);
        entry.mLoad = load;
        entry.mLoadMillis = mClock.nowMillis();
    }

    /** Notes whether a server answered a call with success. */
    public void recordResponse(ServerIncarnation life, boolean success) {
        Entry entry = entry(life);
        entry.mErrors += ERROR_WEIGHT * ((success ? 0 : 1) - entry.mErrors);
        if (success) {
            entry.mFailures = 0;
        }
    }

    /** Notes that a server gave no answer, or a broken one. */
    public void recordFailure(ServerIncarnation life) {
        Entry entry = entry(life);
        long millis = FIRST_SUSPICION_MILLIS << Math.min(entry.mFailures, 3);
        entry.mFailures++;
        entry.mErrors += ERROR_WEIGHT * (1 - entry.mErrors);
        entry.mSuspectUntil =
                Deadline.after(mClock.nowMillis(), Math.min(millis, LAST_SUSPICION_MILLIS));
    }

    /** Whether a server is left out for now. */
    public boolean isSuspect(ServerIncarnation life) {
        Entry entry = entry(life);
        long now = mClock.nowMillis();
        return !entry.mSuspectUntil.isPast(now) || isSilent(entry, now);
    }

    /** Whether a server broke a call off or refused a connection a moment ago. */
    public boolean hasRecentFailure(ServerIncarnation life) {
        return !entry(life).mSuspectUntil.isPast(mClock.nowMillis());
    }

    private static boolean isSilent(Entry entry, long now) {
        return entry.mStreaming > 0 && now - entry.mHeardMillis > SILENCE_MILLIS;
    }

    /** A server as a candidate for a call. */
    public Candidate candidate(ServerRecord server) {
        Entry entry = entry(server.incarnation());
        boolean fresh = mClock.nowMillis() - entry.mLoadMillis <= LOAD_AGE_MILLIS;
        return new Candidate(
                server,
                entry.mInFlight,
                fresh ? entry.mLoad.running() + entry.mLoad.waiting() : 0,
                fresh ? entry.mLoad.slownessPercent() / PERCENT : 1,
                entry.mErrors,
                isSuspect(server.incarnation()),
                server.zone().equals(mZone));
    }

    /** Forgets servers that are gone and have no call under way. */
    public void retain(Set<ServerIncarnation> lives) {
        for (ServerIncarnation life : new HashSet<>(mEntries.keySet())) {
            if (!lives.contains(life) && mEntries.get(life).mInFlight == 0) {
                mEntries.remove(life);
            }
        }
    }
}

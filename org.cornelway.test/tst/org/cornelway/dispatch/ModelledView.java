package org.cornelway.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.time.Clock;
import org.cornelway.traffic.ReportedLoad;

/** What one entry knows of the servers, and the chooser that uses it. */
interface ModelledView {
    void started(ServerRecord server, long tokens);

    void ended(ServerRecord server, long tokens);

    void answered(ServerRecord server, String route, long millis);

    void event(ServerRecord server, String model, long gapMillis);

    void reported(ServerRecord server, ReportedLoad load);

    void counted(Map<String, Integer> activeCalls);

    List<Candidate> candidates(List<ServerRecord> servers, long tokenCapacity);

    /** Returns the view of an entry of the present build. */
    static ServerLoadsView of(Clock clock, int entries) {
        return new ServerLoadsView(clock, entries);
    }

    /** The view of {@link ServerLoads}. */
    final class ServerLoadsView implements ModelledView {
        final ServerLoads mLoads;
        private final int mEntries;

        ServerLoadsView(Clock clock, int entries) {
            mEntries = entries;
            mLoads =
                    new ServerLoads(
                            clock,
                            "z",
                            new SlowServers.Listener() {
                                @Override
                                public void onSlow(ServerIncarnation server, double factor) {}

                                @Override
                                public void onNormal(ServerIncarnation server) {}
                            });
        }

        @Override
        public void started(ServerRecord server, long tokens) {
            mLoads.recordCallStarted(server.incarnation(), tokens);
        }

        @Override
        public void ended(ServerRecord server, long tokens) {
            mLoads.recordCallEnded(server.incarnation(), tokens);
        }

        @Override
        public void answered(ServerRecord server, String route, long millis) {
            mLoads.recordServiceTime(server, route, millis);
        }

        @Override
        public void event(ServerRecord server, String model, long gapMillis) {
            mLoads.recordEvents(server, model, gapMillis, 1);
        }

        @Override
        public void reported(ServerRecord server, ReportedLoad load) {
            mLoads.recordReportedLoad(server, load);
        }

        @Override
        public void counted(Map<String, Integer> activeCalls) {
            mLoads.recordActiveCalls(activeCalls);
        }

        @Override
        public List<Candidate> candidates(List<ServerRecord> servers, long tokenCapacity) {
            return mLoads.candidates(servers, tokenCapacity, mEntries);
        }
    }

    /**
     * The view that the baseline chooser was made for: the larger of own calls and of a report that
     * is at most 400 ms old, the slowness of that report, and the counts of full engines.
     */
    final class ReportsView implements ModelledView {
        private static final long MAX_AGE_MILLIS = 400;
        private final Clock mClock;
        private final Map<String, Integer> mInFlight = new HashMap<>();
        private final Map<String, ReportedLoad> mReports = new HashMap<>();
        private final Map<String, Long> mReportedMillis = new HashMap<>();
        private Map<String, Integer> mCounts = Map.of();

        ReportsView(Clock clock) {
            mClock = clock;
        }

        @Override
        public void started(ServerRecord server, long tokens) {
            mInFlight.merge(server.id(), 1, Integer::sum);
        }

        @Override
        public void ended(ServerRecord server, long tokens) {
            mInFlight.merge(server.id(), -1, Integer::sum);
        }

        @Override
        public void answered(ServerRecord server, String route, long millis) {}

        @Override
        public void event(ServerRecord server, String model, long gapMillis) {}

        @Override
        public void reported(ServerRecord server, ReportedLoad load) {
            mReports.put(server.id(), load);
            mReportedMillis.put(server.id(), mClock.nowMillis());
        }

        @Override
        public void counted(Map<String, Integer> activeCalls) {
            mCounts = activeCalls;
        }

        @Override
        public List<Candidate> candidates(List<ServerRecord> servers, long tokenCapacity) {
            List<Candidate> candidates = new ArrayList<>();
            for (ServerRecord server : servers) {
                long reportedMillis = mReportedMillis.getOrDefault(server.id(), -MAX_AGE_MILLIS);
                boolean fresh = mClock.nowMillis() - reportedMillis <= MAX_AGE_MILLIS;
                ReportedLoad load = mReports.get(server.id());
                int reported = fresh && load != null ? load.running() + load.waiting() : 0;
                int counted = mCounts.getOrDefault(server.id(), 0);
                candidates.add(
                        new Candidate(
                                server,
                                mInFlight.getOrDefault(server.id(), 0),
                                Math.max(reported, counted >= server.slots() ? counted : 0),
                                fresh && load != null ? load.slownessPercent() / 100.0 : 1,
                                0,
                                false,
                                true));
            }
            return candidates;
        }
    }
}

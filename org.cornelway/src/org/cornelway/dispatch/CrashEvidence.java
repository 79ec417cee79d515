package org.cornelway.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.time.Deadline;

/**
 * Decides which parts of prompts are blocked because calls with them crash backend servers.
 *
 * <p>Meant for a part that crashes each server that begins to answer a call with it. A crash breaks
 * off many calls, and it does not show which of them caused it. So each part of a call that had not
 * got past the beginning of its answer is suspected; a part on which any answer got further is
 * cleared. A part is blocked after {@link #MIN_CRASHES} crashes that are independent: each call was
 * sent after the crash before, so that servers that fail together count once. The crashes that are
 * explained by the part with most of them do not count against other parts. Of parts with the same
 * crashes, the one that comes last in the prompt is blocked, since fewer calls share it; if that is
 * wrong, the next crash shows it.
 *
 * <p>Breaks at one incarnation of a server count once, however many there are, since a server in
 * trouble may break off calls without a crash. A restart that becomes known later than calls
 * reached it is made up for by {@link BrokenCalls}.
 *
 * <p>Invariants: the blocked parts depend only on what was recorded or merged, not on the order, so
 * that processes that exchange their evidence block the same parts; the numbers of parts are
 * bounded. Not thread-safe, except {@link #blockedCount}.
 */
public final class CrashEvidence {
    /** Number of independent crashes after which a part is blocked. */
    static final int MIN_CRASHES = 3;

    /** Time from the last crash for which a part is blocked; doubles with each further crash. */
    static final long BLOCK_MILLIS = 120_000;

    private static final int MAX_DOUBLINGS = 5;

    /** Time for which a crash counts against a part that is not blocked. */
    static final long SUSPICION_MILLIS = 60_000;

    /** Time for which the crashes of a part that was blocked are remembered. */
    private static final long MEMORY_MILLIS = BLOCK_MILLIS << (MAX_DOUBLINGS + 1);

    private static final long EXPIRY_PERIOD_MILLIS = 1_000;

    /** Limit on the number of suspected parts; of those with few crashes, the oldest go first. */
    static final int MAX_PARTS = 256;

    /** Limit on the number of answered parts that are remembered. */
    private static final int MAX_ANSWERED = 4_096;

    /** The crashes of each suspected part, by server. */
    private final Map<String, Map<ServerIncarnation, PartCrash>> mCrashes = new HashMap<>();

    /** Calls that broke off, by which crashes of incarnations that are not known yet are found. */
    private final BrokenCalls mBrokenCalls = new BrokenCalls();

    /** Suspected parts that were cleared. */
    private final Set<String> mCleared = new HashSet<>();

    /** Parts that were answered last, the least recent first. */
    private final Map<String, Boolean> mAnswered =
            new LinkedHashMap<>(64, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_ANSWERED;
                }
            };

    private volatile Map<String, Deadline> mBlocked = Map.of();
    private Snapshot mSnapshot = new Snapshot(0, List.of(), List.of());
    private Deadline mNextExpiry = new Deadline(0);

    /**
     * All that was recorded or merged and is not forgotten. Immutable.
     *
     * @param version increases with each change of this process's evidence
     * @param cleared the suspected parts on which an answer got past its beginning
     */
    public record Snapshot(long version, List<PartCrash> crashes, List<String> cleared) {}

    /**
     * Records that a call broke off when its server crashed, before its answer had got past its
     * beginning.
     *
     * @param parts the parts of the prompt that other calls may share, in order
     * @return the parts that are suspected
     */
    public List<String> recordCrash(
            List<String> parts, ServerIncarnation server, long sentMillis, long nowMillis) {
        BrokenCalls.BrokenCall call =
                new BrokenCalls.BrokenCall(parts, server, sentMillis, nowMillis);
        List<PartCrash> suspects = suspects(call, server);
        merge(suspects, List.of(), nowMillis);
        for (ServerIncarnation later : mBrokenCalls.addCall(call)) {
            merge(suspects(call, later), List.of(), nowMillis);
        }
        return suspects.stream().map(PartCrash::part).toList();
    }

    /**
     * Records that an incarnation of a server is known from now on. Calls that were sent after its
     * start to an earlier incarnation, and that broke off, count as its crash too.
     */
    public void recordStart(ServerIncarnation started, long nowMillis) {
        for (BrokenCalls.BrokenCall call : mBrokenCalls.addStart(started)) {
            merge(suspects(call, started), List.of(), nowMillis);
        }
    }

    private List<PartCrash> suspects(BrokenCalls.BrokenCall call, ServerIncarnation server) {
        List<PartCrash> suspects = new ArrayList<>();
        for (int i = 0; i < call.parts().size(); i++) {
            String part = call.parts().get(i);
            if (!isCleared(part)) {
                suspects.add(
                        new PartCrash(part, i, server, call.sentMillis(), call.brokenMillis()));
            }
        }
        return suspects;
    }

    private boolean isCleared(String part) {
        return mAnswered.containsKey(part) || mCleared.contains(part);
    }

    /** Records that the answer to a call with these parts got past its beginning. */
    public void recordAnswered(List<String> parts, long nowMillis) {
        boolean changed = false;
        for (String part : parts) {
            mAnswered.put(part, true);
            changed |= mCrashes.containsKey(part) && mCleared.add(part);
        }
        if (changed) {
            update(nowMillis);
        }
    }

    /**
     * Adds evidence of another process.
     *
     * @param cleared parts on which an answer got past its beginning
     */
    public void merge(Collection<PartCrash> crashes, Collection<String> cleared, long nowMillis) {
        boolean changed = false;
        for (PartCrash crash : crashes) {
            changed |= add(crash);
        }
        for (String part : cleared) {
            changed |= mCrashes.containsKey(part) && mCleared.add(part);
        }
        if (changed) {
            update(nowMillis);
        }
    }

    private boolean add(PartCrash crash) {
        Map<ServerIncarnation, PartCrash> known =
                mCrashes.computeIfAbsent(crash.part(), missing -> new HashMap<>());
        PartCrash before = known.get(crash.server());
        PartCrash after = before == null ? crash : before.merge(crash);
        known.put(crash.server(), after);
        boolean cleared = mAnswered.containsKey(crash.part()) && mCleared.add(crash.part());
        return cleared || !after.equals(before);
    }

    /** Forgets old crashes from time to time; called often. */
    public void expire(long nowMillis) {
        if (!mCrashes.isEmpty() && mNextExpiry.isPast(nowMillis)) {
            mNextExpiry = Deadline.after(nowMillis, EXPIRY_PERIOD_MILLIS);
            forget(nowMillis);
            decide(mSnapshot.version());
        }
    }

    private void update(long nowMillis) {
        forget(nowMillis);
        decide(mSnapshot.version() + 1);
    }

    private void decide(long version) {
        mBlocked = blockedParts();
        mSnapshot =
                new Snapshot(
                        version,
                        mCrashes.values().stream().flatMap(each -> each.values().stream()).toList(),
                        List.copyOf(mCleared));
    }

    private void forget(long nowMillis) {
        mCrashes.values()
                .removeIf(
                        crashes ->
                                lastCrashMillis(crashes.values())
                                        < nowMillis - memoryMillis(crashes.values()));
        if (mCrashes.size() > MAX_PARTS) {
            mCrashes.keySet().stream()
                    .sorted(
                            Comparator.comparing((String part) -> isProven(part))
                                    .thenComparing(part -> lastCrashMillis(crashes(part))))
                    .limit(mCrashes.size() - MAX_PARTS)
                    .toList()
                    .forEach(mCrashes::remove);
        }
        mCleared.retainAll(mCrashes.keySet());
    }

    private Collection<PartCrash> crashes(String part) {
        return mCrashes.get(part).values();
    }

    private boolean isProven(String part) {
        return independentCrashes(crashes(part)) >= MIN_CRASHES;
    }

    private static long memoryMillis(Collection<PartCrash> crashes) {
        return independentCrashes(crashes) < MIN_CRASHES ? SUSPICION_MILLIS : MEMORY_MILLIS;
    }

    private static long lastCrashMillis(Collection<PartCrash> crashes) {
        return crashes.stream().mapToLong(PartCrash::crashedMillis).max().orElse(0);
    }

    /** Returns the greatest number of these crashes of which each call was sent after the last. */
    private static int independentCrashes(Collection<PartCrash> crashes) {
        int count = 0;
        long lastMillis = Long.MIN_VALUE;
        List<PartCrash> ordered =
                crashes.stream()
                        .sorted(Comparator.comparingLong(PartCrash::crashedMillis))
                        .toList();
        for (PartCrash crash : ordered) {
            if (crash.sentMillis() >= lastMillis) {
                count++;
                lastMillis = crash.crashedMillis();
            }
        }
        return count;
    }

    /** Blocks the parts with most crashes, then those with most of the crashes that remain. */
    private Map<String, Deadline> blockedParts() {
        Map<String, List<PartCrash>> unexplained = new HashMap<>();
        mCrashes.forEach(
                (part, crashes) -> {
                    if (!mCleared.contains(part)) {
                        unexplained.put(part, new ArrayList<>(crashes.values()));
                    }
                });
        Map<String, Deadline> blocked = new HashMap<>();
        int most = mostCrashes(unexplained);
        while (most >= MIN_CRASHES) {
            Set<ServerIncarnation> explained = new HashSet<>();
            for (String part : partsToBlock(unexplained, most)) {
                List<PartCrash> crashes = unexplained.remove(part);
                blocked.put(part, blockedUntil(crashes, most));
                crashes.forEach(crash -> explained.add(crash.server()));
            }
            unexplained
                    .values()
                    .forEach(list -> list.removeIf(crash -> explained.contains(crash.server())));
            most = mostCrashes(unexplained);
        }
        return blocked;
    }

    private static int mostCrashes(Map<String, List<PartCrash>> crashesByPart) {
        return crashesByPart.values().stream()
                .mapToInt(CrashEvidence::independentCrashes)
                .max()
                .orElse(0);
    }

    /** Returns the parts with a number of crashes, but of those with the same ones the last. */
    private static List<String> partsToBlock(
            Map<String, List<PartCrash>> crashesByPart, int count) {
        Map<Set<ServerIncarnation>, List<String>> partsByCrashes = new HashMap<>();
        crashesByPart.forEach(
                (part, crashes) -> {
                    if (independentCrashes(crashes) == count) {
                        partsByCrashes
                                .computeIfAbsent(servers(crashes), missing -> new ArrayList<>())
                                .add(part);
                    }
                });
        return partsByCrashes.values().stream()
                .flatMap(
                        parts -> {
                            int last =
                                    parts.stream()
                                            .mapToInt(part -> position(crashesByPart.get(part)))
                                            .max()
                                            .orElse(0);
                            return parts.stream()
                                    .filter(part -> position(crashesByPart.get(part)) == last);
                        })
                .toList();
    }

    private static Set<ServerIncarnation> servers(List<PartCrash> crashes) {
        return crashes.stream().map(PartCrash::server).collect(Collectors.toSet());
    }

    private static int position(List<PartCrash> crashes) {
        return crashes.stream().mapToInt(PartCrash::position).max().orElse(0);
    }

    private static Deadline blockedUntil(List<PartCrash> crashes, int independentCrashes) {
        int doublings = Math.min(MAX_DOUBLINGS, independentCrashes - MIN_CRASHES);
        return Deadline.after(lastCrashMillis(crashes), BLOCK_MILLIS << doublings);
    }

    /** Returns until when a prompt with these parts is blocked; empty if it is not. */
    public Optional<Deadline> blockedUntil(List<String> parts, long nowMillis) {
        if (mBlocked.isEmpty()) {
            return Optional.empty();
        }
        return parts.stream()
                .flatMap(part -> Optional.ofNullable(mBlocked.get(part)).stream())
                .filter(deadline -> !deadline.isPast(nowMillis))
                .max(Comparator.naturalOrder());
    }

    /** Number of parts that are blocked, or were and may be again after one more crash. */
    public int blockedCount() {
        return mBlocked.size();
    }

    /** Returns all evidence, to be merged by another process. */
    public Snapshot snapshot() {
        return mSnapshot;
    }
}

package org.cornelway.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;

/**
 * Deals out the rate of a limited backend server to the entries, as permits for single calls.
 *
 * <p>Meant for a server that takes about one call a second from all entries together while any of
 * them may have a call for it: a fixed share of the rate would be too small for the entry that has
 * the calls, and a permit in hand at each entry too much. A permit goes to the entry with the most
 * calls that recently wanted the server, counted from its last permit, so that entries with equal
 * demand take turns.
 *
 * <p>Invariant: in any period of T seconds, a server's permits are at most its rate times T, plus
 * one, plus the rate times {@link #DEPTH_SECONDS}. Pure; not thread-safe.
 */
public final class PermitLedger {
    /**
     * Lowest rate that is dealt out, in calls per second, so that a server which takes none is
     * asked now and then whether this is still so.
     */
    static final double MIN_CALLS_PER_SECOND = 0.1;

    /** Time for which the rate of a server accumulates, beyond one permit, while no entry asks. */
    static final double DEPTH_SECONDS = 0.5;

    /** Share of an entry's claim that is left after another report. */
    private static final double CLAIM_RETENTION = 0.7;

    /** Claim below which an entry gets no permit. */
    private static final double MIN_CLAIM = 0.1;

    /** Age above which the claim of an entry that does not report counts for nothing. */
    private static final long MAX_CLAIM_AGE_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<ServerIncarnation, Account> mAccounts = new HashMap<>();

    /** Permits and claims of one server. */
    private static final class Account {
        private double mPermits;
        private long mFilledMillis;
        private final Map<String, Claim> mClaims = new HashMap<>();

        private Account(long nowMillis) {
            mFilledMillis = nowMillis;
        }
    }

    /** The recent calls of one entry that wanted a server. Immutable. */
    private record Claim(double calls, long reportedMillis) {}

    /** Adds what has accumulated since the last time; a lower rate takes from what is there. */
    private void fill(Account account, double callsPerSecond, long nowMillis) {
        double rate = Math.max(callsPerSecond, MIN_CALLS_PER_SECOND);
        double seconds = Math.max(0, nowMillis - account.mFilledMillis) / MILLIS_PER_SECOND;
        double depth = 1 + rate * DEPTH_SECONDS;
        account.mPermits = Math.min(depth, account.mPermits + rate * seconds);
        account.mFilledMillis = nowMillis;
    }

    /**
     * Records the calls of an entry that wanted a server since its last report, and returns the
     * number of permits that it gets.
     *
     * @param callsPerSecond rate that the server takes from all entries together
     */
    public int deal(
            ServerIncarnation server,
            String entry,
            int calls,
            double callsPerSecond,
            long nowMillis) {
        Account account = mAccounts.computeIfAbsent(server, key -> new Account(nowMillis));
        fill(account, callsPerSecond, nowMillis);
        account.mClaims
                .values()
                .removeIf(each -> nowMillis - each.reportedMillis() > MAX_CLAIM_AGE_MILLIS);
        Claim previous = account.mClaims.getOrDefault(entry, new Claim(0, nowMillis));
        double claim = previous.calls() * CLAIM_RETENTION + calls;
        double largest =
                account.mClaims.values().stream().mapToDouble(Claim::calls).max().orElse(0);
        int permits =
                claim >= MIN_CLAIM && claim >= largest
                        ? (int) Math.min(Math.ceil(claim), Math.floor(account.mPermits))
                        : 0;
        account.mPermits -= permits;
        account.mClaims.put(entry, new Claim(Math.max(0, claim - permits), nowMillis));
        return permits;
    }

    /** Whether an entry that asks for a permit now would get one, unless others have asked. */
    public boolean hasPermit(ServerIncarnation server, double callsPerSecond, long nowMillis) {
        Account account = mAccounts.get(server);
        if (account == null) {
            return false;
        }
        fill(account, callsPerSecond, nowMillis);
        return account.mPermits >= 1;
    }

    /** Discards the accounts of servers that are not in the set. */
    public void retain(Set<ServerIncarnation> servers) {
        mAccounts.keySet().retainAll(servers);
    }
}

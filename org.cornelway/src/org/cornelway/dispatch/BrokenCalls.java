package org.cornelway.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.cornelway.directory.ServerIncarnation;

/**
 * Matches calls that broke off with incarnations of servers that became known later than the calls
 * were sent.
 *
 * <p>A server that has restarted may take calls before its new incarnation is known to this
 * process. Such a call is sent to the earlier incarnation and reaches the new one, which may crash
 * on it too. Calls and starts may be recorded in any order.
 *
 * <p>Invariant: only the last {@link #MAX_RECORDS} calls and starts are remembered. Not
 * thread-safe.
 */
final class BrokenCalls {
    /** Limit on the number of calls, and on that of starts; the oldest go first. */
    static final int MAX_RECORDS = 256;

    private final Deque<BrokenCall> mCalls = new ArrayDeque<>();
    private final Deque<ServerIncarnation> mStarts = new ArrayDeque<>();

    /**
     * A call that broke off at the beginning of its answer. Immutable.
     *
     * @param parts the parts of the prompt that other calls may share, in order
     * @param server the incarnation that was known when the call was sent
     * @param sentMillis when the call was sent, in milliseconds since the epoch
     * @param brokenMillis when it broke off, in milliseconds since the epoch
     */
    record BrokenCall(
            List<String> parts, ServerIncarnation server, long sentMillis, long brokenMillis) {
        /** Whether the server had restarted as this later incarnation before the call was sent. */
        private boolean wasSentAfterStart(ServerIncarnation later) {
            return later.id().equals(server.id())
                    && later.startedMillis() > server.startedMillis()
                    && later.startedMillis() <= sentMillis;
        }
    }

    /** Records a call; returns the known later incarnations that it may have reached. */
    List<ServerIncarnation> addCall(BrokenCall call) {
        add(mCalls, call);
        return mStarts.stream().filter(call::wasSentAfterStart).toList();
    }

    /** Records that an incarnation is known; returns the calls that may have reached it. */
    List<BrokenCall> addStart(ServerIncarnation started) {
        add(mStarts, started);
        return mCalls.stream().filter(call -> call.wasSentAfterStart(started)).toList();
    }

    private static <T> void add(Deque<T> records, T record) {
        records.addLast(record);
        if (records.size() > MAX_RECORDS) {
            records.removeFirst();
        }
    }
}

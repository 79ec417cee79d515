package org.cornelway.platform;

/** The key-value service no longer has the history asked for. */
public final class HistoryLostException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param revision revision that was asked for
     */
    public HistoryLostException(long revision) {
        super("no history after revision " + revision, null, false, false);
    }
}

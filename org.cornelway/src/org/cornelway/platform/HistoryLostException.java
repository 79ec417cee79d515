package org.cornelway.platform;

/** The key-value service no longer has the requested history. */
public final class HistoryLostException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param revision revision after which changes were requested
     */
    public HistoryLostException(long revision) {
        super("no history after revision " + revision, null, false, false);
    }
}

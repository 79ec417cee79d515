package org.cornelway.platform;

/** Signals that the key-value service no longer has all changes after the requested revision. */
public final class HistoryLostException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param revision revision after which changes were requested
     */
    public HistoryLostException(long revision) {
        super(
                "the key-value service no longer has all changes after revision " + revision,
                null,
                false,
                false);
    }
}

package org.cornelway.quota;

/**
 * The times that entries and ledgers agree on. All count from when an entry sends a report.
 *
 * <p>A ledger counts an entry's share for less time than the entry waits before it uses the share
 * itself, so that the two do not overlap unless a report is late by the difference.
 */
public final class QuotaTimes {
    /**
     * Time for which granted tokens are valid. Two of the reports that renew them, one each 250 ms,
     * may be lost or late.
     */
    public static final long GRANT_MILLIS = 700;

    /** Time without a reply after which an entry uses its own share. */
    public static final long FALLBACK_AFTER_MILLIS = 800;

    /** Time for which a ledger counts the share of an entry from the receipt of a report. */
    public static final long SHARE_MILLIS = 550;

    /** Time from a report's receipt after which a ledger drops the account of an entry. */
    public static final long ACCOUNT_MILLIS = 900;

    /** Longest wait of a call for tokens. */
    public static final long WAIT_MILLIS = 150;

    /** Time after which an admitted call that was not sent gives its tokens back. */
    public static final long HOLD_MILLIS = 400;

    private QuotaTimes() {}
}

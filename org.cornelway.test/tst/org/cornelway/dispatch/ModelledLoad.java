package org.cornelway.dispatch;

import java.util.List;

/**
 * A load in virtual time. Immutable.
 *
 * @param entries number of entries
 * @param fleet the servers
 * @param kinds kinds of call
 * @param slowShare share of the servers that are slow at a time
 * @param popularity share of the calls for popular models, by model
 * @param enginesPerModel engines that hold a popular model
 */
record ModelledLoad(
        int entries,
        Fleet fleet,
        List<Kind> kinds,
        double slowShare,
        double[] popularity,
        int enginesPerModel) {
    static final long SLOW_MILLIS = 600;
    static final double SLOWNESS = 2.5;
    static final double MILLIS_PER_PROMPT_TOKEN = 0.08;
    static final double MILLIS_PER_TOKEN = 20;
    static final long MAX_GAP_MILLIS = 200;
    static final int PLAIN_SLOTS = 6;
    private static final Fleet LARGE_ENGINES = new Fleet(4, 27, 48, 120_588);
    private static final Fleet SMALL_ENGINES = new Fleet(3, 29, 32, 96_005);
    private static final double[] EVEN_POPULARITY = {
        0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125
    };
    private static final double[] POPULARITY = {0.34, 0.24, 0.18, 0.14, 0.1};

    /**
     * A kind of call. Immutable.
     *
     * @param promptTokens mean tokens of the prompt; 0 for plain calls
     * @param isSafe whether plain calls may be hedged
     */
    record Kind(
            String name,
            double perSecond,
            long objectiveMillis,
            int priority,
            int promptTokens,
            int outputTokens,
            boolean isSafe) {
        boolean isStream() {
            return promptTokens > 0;
        }
    }

    /**
     * The servers. Immutable.
     *
     * @param tokens tokens that an engine's memory holds
     */
    record Fleet(int plainServers, int engines, int slots, long tokens) {}

    /** Returns calls of 22 entries to engines of which each entry uses few slots. */
    static ModelledLoad ofManyEntries(double slowShare) {
        return new ModelledLoad(
                22,
                SMALL_ENGINES,
                List.of(
                        new Kind("release", 61, 316, 2, 0, 0, false),
                        new Kind("read", 14, 316, 2, 0, 0, true),
                        new Kind("draft", 66, 252, 0, 700, 280, false),
                        new Kind("check", 66, 1_000, 1, 380, 48, false)),
                slowShare,
                EVEN_POPULARITY,
                6);
    }

    /** Returns calls to plain servers and engines of which a share is slow at a time. */
    static ModelledLoad of(double slowShare, int promptTokens, double streamsPerSecond) {
        return new ModelledLoad(
                8,
                LARGE_ENGINES,
                List.of(
                        new Kind("release", 55, 329, 1, 0, 0, false),
                        new Kind("read", 22, 329, 1, 0, 0, true),
                        new Kind(
                                "draft", streamsPerSecond * 0.53, 401, 1, promptTokens, 280, false),
                        new Kind("check", streamsPerSecond * 0.47, 301, 1, 380, 48, false)),
                slowShare,
                POPULARITY,
                12);
    }
}

package org.cornelway.dispatch;

import java.util.List;

/**
 * A load in virtual time. Immutable.
 *
 * @param kinds kinds of call
 * @param slowShare share of the servers that are slow at a time
 * @param popularity share of the calls for popular models, by model
 * @param enginesPerModel engines that hold a popular model
 */
record ModelledLoad(List<Kind> kinds, double slowShare, double[] popularity, int enginesPerModel) {
    static final long SLOW_MILLIS = 600;
    static final double SLOWNESS = 2.5;
    static final double MILLIS_PER_PROMPT_TOKEN = 0.08;
    static final double MILLIS_PER_TOKEN = 20;
    static final long MAX_GAP_MILLIS = 200;
    static final int ENTRIES = 8;
    static final int PLAIN_SERVERS = 4;
    static final int PLAIN_SLOTS = 6;
    static final int ENGINES = 27;
    static final int ENGINE_SLOTS = 48;
    static final long ENGINE_TOKENS = 120_588;
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

    /** Returns calls to plain servers and engines of which a share is slow at a time. */
    static ModelledLoad of(double slowShare, int promptTokens, double streamsPerSecond) {
        return new ModelledLoad(
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

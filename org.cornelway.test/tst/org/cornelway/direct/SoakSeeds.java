package org.cornelway.direct;

import java.util.stream.LongStream;

/**
 * The seeds that a soak plays: {@code -Dcornelway.soak.seeds=FIRST-LAST}, or a few by default.
 * Stateless.
 */
final class SoakSeeds {
    private static final String PROPERTY = "cornelway.soak.seeds";

    private SoakSeeds() {}

    /**
     * Returns the seeds in the form of a data provider.
     *
     * @param byDefault first and last seed without the property, separated by a hyphen
     */
    static Object[][] provide(String byDefault) {
        String[] bounds = System.getProperty(PROPERTY, byDefault).split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]))
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }
}

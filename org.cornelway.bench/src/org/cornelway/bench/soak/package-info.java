/**
 * Randomized tests of the decision logic in virtual time, with in-memory fakes of the external
 * services.
 */
package org.cornelway.bench.soak;

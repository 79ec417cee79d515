/** Tests that execute short random runs with fixed seeds. */
package org.cornelway.soak;

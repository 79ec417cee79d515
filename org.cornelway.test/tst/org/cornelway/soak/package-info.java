/** Short random runs with fixed seeds. */
package org.cornelway.soak;

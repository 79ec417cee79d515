/** Runtime checks of invariants. */
package org.cornelway.invariant;

/** Checks of what must always hold, made while the program runs. */
package org.cornelway.invariant;

/** Clocks and deadlines. */
package org.cornelway.time;

/** Points in time and the clocks that give them. */
package org.cornelway.time;

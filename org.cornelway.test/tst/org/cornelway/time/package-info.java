/** Tests of clocks and deadlines. */
package org.cornelway.time;

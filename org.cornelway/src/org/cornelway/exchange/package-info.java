/** Keeps answers whole between an entry and an agent. */
package org.cornelway.exchange;

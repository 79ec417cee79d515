/** Transfers answers from an agent to an entry without gaps or duplicates. */
package org.cornelway.exchange;

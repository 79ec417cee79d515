/** Tests of the memory ledger. */
package org.cornelway.memory;

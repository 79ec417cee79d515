/** Accounts for a backend server's memory. */
package org.cornelway.memory;

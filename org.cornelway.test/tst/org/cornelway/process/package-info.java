/** Tests with real processes of the system. */
package org.cornelway.process;

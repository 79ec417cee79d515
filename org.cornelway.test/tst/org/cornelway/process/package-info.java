/** Tests with the real processes. */
package org.cornelway.process;

/** Starts, watches and stops the components of a process. */
package org.cornelway.supervisor;

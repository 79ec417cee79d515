/** Starts, drains and stops the components of a process. */
package org.cornelway.supervisor;

/** One structured line for each decision that touches a call or changes what a process believes. */
package org.cornelway.eventlog;

/**
 * Structured log lines, one for each decision that affects a call or changes a process's view of
 * the cluster.
 */
package org.cornelway.eventlog;

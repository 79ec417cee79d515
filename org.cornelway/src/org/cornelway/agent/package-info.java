/**
 * The agent of a backend server, which queues all requests to that server, runs them and sends the
 * answers to the entries.
 */
package org.cornelway.agent;

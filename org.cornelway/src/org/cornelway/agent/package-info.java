/** The agent: all requests to a backend server pass through its agent. */
package org.cornelway.agent;

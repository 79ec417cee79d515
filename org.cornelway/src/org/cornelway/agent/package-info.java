/** The agent: the only way to its backend server. */
package org.cornelway.agent;

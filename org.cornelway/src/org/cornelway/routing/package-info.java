/** Chooses the agent for each request. */
package org.cornelway.routing;

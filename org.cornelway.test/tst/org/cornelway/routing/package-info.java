/** Tests of the choice of agents. */
package org.cornelway.routing;

/**
 * Ports to the services of the platform. Each adapter that implements a port is one small class.
 */
package org.cornelway.platform;

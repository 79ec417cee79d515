/** Ports to what the platform provides; each adapter is one small class. */
package org.cornelway.platform;

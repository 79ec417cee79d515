/** Tests of the clients for the platform and the backend servers. */
package org.cornelway.internal.platform;

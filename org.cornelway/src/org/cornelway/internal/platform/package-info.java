/** Adapters from the ports to the platform's published protocols; not API. */
package org.cornelway.internal.platform;

/** Implementations of the platform interfaces over the platform's published protocols; not API. */
package org.cornelway.internal.platform;

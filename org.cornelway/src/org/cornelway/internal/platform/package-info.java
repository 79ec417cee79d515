/**
 * Implementations of the platform interfaces over the platform's published protocols. Not a public
 * API.
 */
package org.cornelway.internal.platform;

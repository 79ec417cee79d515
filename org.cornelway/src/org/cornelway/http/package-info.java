/** HTTP interfaces for callers, operators and monitoring. */
package org.cornelway.http;

/** HTTP towards callers, operators and monitoring. */
package org.cornelway.http;

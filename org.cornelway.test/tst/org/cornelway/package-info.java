/** Unit tests and tests with real processes. */
package org.cornelway;

/** Tests of the system's decisions, and of its processes. */
package org.cornelway;

/** Decides which calls are delayed or refused while the servers of a service are full. */
package org.cornelway.overload;

/** Measures what control costs each process as the fleet and the configuration grow. */
package org.cornelway.bench.slopes;

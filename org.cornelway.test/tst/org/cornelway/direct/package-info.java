/** Tests of entries that call backend servers directly, run as real processes. */
package org.cornelway.direct;

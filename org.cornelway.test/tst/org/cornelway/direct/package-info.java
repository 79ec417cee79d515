/** Tests of entries that call backend servers themselves, as real processes. */
package org.cornelway.direct;

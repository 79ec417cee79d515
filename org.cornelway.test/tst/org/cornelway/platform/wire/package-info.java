/** Tests of the platform's names and formats. */
package org.cornelway.platform.wire;

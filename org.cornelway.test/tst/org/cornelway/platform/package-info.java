/** Tests of what is common to all key-value services. */
package org.cornelway.platform;

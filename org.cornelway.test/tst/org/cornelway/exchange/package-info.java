/** Tests of whole answers. */
package org.cornelway.exchange;

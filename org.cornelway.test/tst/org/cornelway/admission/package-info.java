/** Tests of the queue. */
package org.cornelway.admission;

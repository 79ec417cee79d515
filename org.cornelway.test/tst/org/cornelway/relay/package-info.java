/** Tests of the relay of documents between processes. */
package org.cornelway.relay;

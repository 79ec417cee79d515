/** The entry: takes callers' requests and brings them their answers. */
package org.cornelway.entry;

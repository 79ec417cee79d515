/** The entry: accepts callers' requests, forwards each to an agent and returns the answer. */
package org.cornelway.entry;

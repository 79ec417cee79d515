/** Tracks which models and adapters a backend server's memory is reserved for. */
package org.cornelway.memory;

/** The command line: one class a command. */
package org.cornelway.pgm;

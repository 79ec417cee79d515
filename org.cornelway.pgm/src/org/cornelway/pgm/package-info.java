/** The command-line program; each command is a class. */
package org.cornelway.pgm;

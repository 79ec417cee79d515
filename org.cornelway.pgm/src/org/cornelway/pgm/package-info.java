/** The command line, with one class per command. */
package org.cornelway.pgm;

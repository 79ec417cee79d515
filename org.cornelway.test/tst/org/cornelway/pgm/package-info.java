/** Tests of the command-line program. */
package org.cornelway.pgm;

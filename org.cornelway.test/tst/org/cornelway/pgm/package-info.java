/** Tests of the command line. */
package org.cornelway.pgm;

/** Tests of the tools that the tests and the bench programs share. */
package org.cornelway.bench;

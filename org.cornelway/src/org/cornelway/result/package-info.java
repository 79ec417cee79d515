/** Result codes, refusals and results that every part of the system shares. */
package org.cornelway.result;

/** Tests of the decisions under overload. */
package org.cornelway.overload;

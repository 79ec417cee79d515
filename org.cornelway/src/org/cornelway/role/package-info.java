/** Assembles the components of each kind of process. */
package org.cornelway.role;

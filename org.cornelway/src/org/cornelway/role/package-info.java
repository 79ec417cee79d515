/** Puts the parts of each process together. */
package org.cornelway.role;

/** Decides what one backend server loads and unloads, and when. */
package org.cornelway.residency;

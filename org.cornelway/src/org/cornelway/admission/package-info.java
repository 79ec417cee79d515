/** Orders and bounds the work that waits at one backend server. */
package org.cornelway.admission;

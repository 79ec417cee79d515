/** Small stand-ins for what the platform provides; not shipped. */
package org.cornelway.standin;

/** The backend servers as they announce themselves in the platform's store. */
package org.cornelway.directory;

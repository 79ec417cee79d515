/** The backend servers as they announce themselves in the key-value service of the platform. */
package org.cornelway.directory;

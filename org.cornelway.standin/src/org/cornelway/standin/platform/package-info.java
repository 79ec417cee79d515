/** Stand-ins for the users' platform: its store and its backend servers. */
package org.cornelway.standin.platform;

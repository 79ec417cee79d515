/** Stand-ins for the users' platform, namely its store and its backend servers. */
package org.cornelway.standin.platform;

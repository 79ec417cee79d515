/** How the entries find each other, follow the store, and agree on one controller. */
package org.cornelway.cluster;

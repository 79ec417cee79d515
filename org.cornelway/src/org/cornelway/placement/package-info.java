/** Decides which backend servers may hold which models. */
package org.cornelway.placement;

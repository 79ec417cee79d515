/** Stand-ins for the services of the platform, for tests, benchmarks and the demo; not shipped. */
package org.cornelway.standin;

/** Programs that run the system with stand-ins: the demonstration, soak tests and measurements. */
package org.cornelway.bench;

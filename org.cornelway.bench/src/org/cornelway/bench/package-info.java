/** Programs that run the system with its stand-ins: demonstration, soak and measurements. */
package org.cornelway.bench;

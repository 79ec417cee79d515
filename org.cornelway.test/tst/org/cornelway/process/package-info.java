/** Tests that run entries, agents and the stand-ins for the platform as separate processes. */
package org.cornelway.process;

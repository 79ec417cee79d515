/** Changes to presets and to the configuration in force, and the status that operators see. */
package org.cornelway.admin;

/** Changes of presets and of the configuration in force, and what operators see. */
package org.cornelway.admin;

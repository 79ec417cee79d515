/** Presets, the configuration in force, their audit trail and their JSON form. */
package org.cornelway.config;

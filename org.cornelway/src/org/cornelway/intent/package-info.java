/**
 * The intent log: keeps calls that may not be repeated from running twice, across agents and
 * crashes.
 */
package org.cornelway.intent;

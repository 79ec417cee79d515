/**
 * The intent log, which keeps calls that may not be repeated from running twice, even if an agent
 * crashes or the same call reaches several agents.
 */
package org.cornelway.intent;

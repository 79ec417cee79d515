/** Tests of the intent log. */
package org.cornelway.intent;

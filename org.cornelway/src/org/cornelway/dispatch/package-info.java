/** Decides for each call which backend server to use and whether to send it again. */
package org.cornelway.dispatch;

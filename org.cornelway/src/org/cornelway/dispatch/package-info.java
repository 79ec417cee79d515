/** Decisions about single calls: which backend server, whether to try again, when to refuse. */
package org.cornelway.dispatch;

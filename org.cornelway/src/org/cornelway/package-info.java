/**
 * Decision logic and process roles of cornelway, a serving system for rarely used language models.
 */
package org.cornelway;

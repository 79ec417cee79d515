/** The controller: implements the configuration in force by writing placement documents. */
package org.cornelway.controller;

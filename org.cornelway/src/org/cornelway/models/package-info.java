/**
 * Decides, in the controller, which models and adapters each engine holds, and sends the engines
 * the orders to load and unload them.
 */
package org.cornelway.models;

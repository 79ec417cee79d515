/**
 * Decides for the controller which engine holds which models and adapters, and sends the orders for
 * it to the engines.
 */
package org.cornelway.models;

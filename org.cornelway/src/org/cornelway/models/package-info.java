/**
 * The controller's scheduling of models: which engine holds which models and adapters, and the
 * orders that bring this about.
 */
package org.cornelway.models;

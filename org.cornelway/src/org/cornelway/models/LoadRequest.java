package org.cornelway.models;

import org.cornelway.route.ModelDefinition;

/**
 * A model that is to be loaded. Immutable.
 *
 * @param storeAllowed whether it may be read from the weight store
 * @param callers calls that each unit of waiting time costs: those that wait and those to come
 */
public record LoadRequest(ModelDefinition model, boolean storeAllowed, double callers) {}

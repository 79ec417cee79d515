package org.cornelway.models;

import java.util.Map;
import java.util.Set;
import org.cornelway.directory.ServerLife;

/**
 * An engine, as the planner sees it. Immutable.
 *
 * @param life the engine
 * @param freeMegabytes memory that neither a model nor an order under way takes
 * @param idle whether it can take an order now
 * @param models models that it holds
 * @param inMemory models of which its host memory has a copy
 * @param onDisk models of which its disk has a copy
 * @param active calls under way on it
 */
public record EngineView(
        ServerLife life,
        double freeMegabytes,
        boolean idle,
        Map<String, ModelView> models,
        Set<String> inMemory,
        Set<String> onDisk,
        int active) {}

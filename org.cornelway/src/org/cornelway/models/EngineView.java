package org.cornelway.models;

import java.util.Map;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;

/**
 * An engine, as the planner sees it. Immutable.
 *
 * @param incarnation the engine
 * @param freeMegabytes memory that neither a model nor an order under way takes
 * @param waitMillis time until it can take an order about a model; 0 if it can now
 * @param models models that it holds
 * @param inMemory models of which its host memory has a copy
 * @param onDisk models of which its disk has a copy
 * @param soleCopies models that are loaded nowhere and have a copy at hand only here
 * @param active calls under way on it
 */
public record EngineView(
        ServerIncarnation incarnation,
        double freeMegabytes,
        long waitMillis,
        Map<String, ModelView> models,
        Set<String> inMemory,
        Set<String> onDisk,
        int soleCopies,
        int active) {}

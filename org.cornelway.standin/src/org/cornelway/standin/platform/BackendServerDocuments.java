package org.cornelway.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import org.cornelway.config.Json;

/**
 * Writes what a {@link BackendServerStandin} says of itself, as JSON. Thread-safe if the map of
 * models is.
 */
final class BackendServerDocuments {
    private final Map<String, Set<String>> mModels;

    /**
     * @param models the adapters of each loaded model, by name of the model; read at each call
     */
    BackendServerDocuments(Map<String, Set<String>> models) {
        mModels = models;
    }

    /** Returns the record that the server publishes in the key-value service. */
    byte[] announcement(
            String service,
            int port,
            String serverState,
            long heartbeatSequence,
            long startedMillis) {
        ObjectNode node =
                Json.lenientMapper()
                        .createObjectNode()
                        .put("Service", service)
                        .put("Address", "127.0.0.1:" + port)
                        .put("Zone", "z")
                        .put("Slots", 8)
                        .put("State", serverState)
                        .put("Seq", heartbeatSequence)
                        .put("born", startedMillis);
        node.set("Models", modelList());
        return Json.write(node);
    }

    /** Returns the reply to a request for the server's report. */
    byte[] report(long acceptedOrders, long startedMillis) {
        ObjectNode node =
                Json.lenientMapper()
                        .createObjectNode()
                        .put("Busy", false)
                        .put("Seq", acceptedOrders)
                        .put("born", startedMillis);
        node.set("Models", modelList());
        node.putObject("AtHand").putArray("OnDisk");
        return Json.write(node);
    }

    private ArrayNode modelList() {
        ArrayNode list = Json.lenientMapper().createArrayNode();
        mModels.forEach(
                (model, adapters) -> {
                    ObjectNode node = list.addObject().put("Name", model);
                    ArrayNode names = node.putArray("Adapters");
                    adapters.forEach(names::add);
                });
        return list;
    }
}

package org.cornelway.pgm;

import java.io.IOException;
import org.cornelway.config.Json;

/** Pretty-prints JSON. Stateless and thread-safe. */
final class PrettyJson {
    private PrettyJson() {}

    /** Indents a JSON text; text that is not JSON is returned unchanged. */
    static String format(String text) {
        try {
            return Json.lenientMapper().readTree(text).toPrettyString();
        } catch (IOException e) {
            return text;
        }
    }
}

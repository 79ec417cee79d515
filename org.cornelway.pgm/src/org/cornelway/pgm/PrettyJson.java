package org.cornelway.pgm;

import java.io.IOException;
import org.cornelway.config.Json;

/** Indents JSON for people. Stateless and thread-safe. */
final class PrettyJson {
    private PrettyJson() {}

    static String of(String text) {
        try {
            return Json.mapper().readTree(text).toPrettyString();
        } catch (IOException e) {
            return text;
        }
    }
}

package org.cornelway.role;

/** Reads the current settings. Thread-safe. */
@FunctionalInterface
public interface SettingsSource {
    /**
     * Returns the current settings.
     *
     * @throws IllegalArgumentException if the settings are invalid; the message names the file, the
     *     field and the reason
     */
    DirectEntrySettings read();
}

package org.cornelway.role;

/** Reads the settings as they are now. Thread-safe. */
@FunctionalInterface
public interface SettingsSource {
    /**
     * The settings.
     *
     * @throws IllegalArgumentException naming the file, the field and the reason
     */
    DirectEntrySettings read();
}

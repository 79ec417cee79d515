package org.cornelway.traffic;

import java.util.Locale;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.SlowServers;
import org.cornelway.eventlog.EventLog;

/** Logs which servers become slow against their peers, and which are normal again. */
final class SlowServerLog implements SlowServers.Listener {
    private final EventLog mLog;

    SlowServerLog(EventLog log) {
        mLog = log;
    }

    @Override
    public void onSlow(ServerIncarnation server, double factor) {
        String rounded = String.format(Locale.ROOT, "%.2f", factor);
        mLog.write("server.slow", "id", "-", "server", server.id(), "factor", rounded);
    }

    @Override
    public void onNormal(ServerIncarnation server) {
        mLog.write("server.normal", "id", "-", "server", server.id());
    }
}

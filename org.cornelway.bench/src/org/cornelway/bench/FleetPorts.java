package org.cornelway.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.standin.StandinProgram;

/** Finds and lays out the loopback ports of a fleet. Immutable. */
public final class FleetPorts {
    private static final int FIRST_BASE = 20_000;
    private static final int LAST_BASE = 30_000;
    private static final int STEP = 100;

    /** One port for each step, on which the fleet listens that has the step's ports. */
    private static final int FIRST_CLAIM = 19_800;

    private static final List<ServerSocket> CLAIMS = new ArrayList<>();

    private final int mBase;
    private final FleetSize mShape;

    private FleetPorts(int base, FleetSize shape) {
        mBase = base;
        mShape = shape;
    }

    static FleetPorts reserveFor(FleetSize shape) {
        return new FleetPorts(reserveRange(size(shape)), shape);
    }

    /**
     * First of some free ports in a row, below those that the system gives out by itself. They are
     * claimed until this process ends, so that fleets of several processes never choose the same.
     *
     * @param count ports needed
     */
    public static int reserveRange(int count) {
        for (int base = FIRST_BASE; base < LAST_BASE; base += STEP) {
            if (claim(base, count) && areFree(base, count)) {
                return base;
            }
        }
        throw new IllegalStateException("no " + count + " free ports in a row");
    }

    /** Claims ports by listening on one port for each step; what was claimed stays so. */
    private static synchronized boolean claim(int base, int count) {
        for (int from = base; from < base + count; from += STEP) {
            int claim = FIRST_CLAIM + (from - FIRST_BASE) / STEP;
            try {
                CLAIMS.add(new ServerSocket(claim, 1, InetAddress.getByName("127.0.0.1")));
            } catch (IOException e) {
                // Another fleet has it.
                return false;
            }
        }
        return true;
    }

    private static int size(FleetSize shape) {
        int servers = shape.engines() + shape.plainInstances();
        return StandinProgram.PLATFORM_PORTS + servers + 2 * (servers + shape.entries()) + servers;
    }

    private static boolean areFree(int base, int count) {
        for (int port = base; port < base + count; port++) {
            try (ServerSocket probe =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                probe.setReuseAddress(true);
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    int keyValueService() {
        return mBase;
    }

    int instanceList() {
        return mBase + 1;
    }

    int checkpointStore() {
        return mBase + 2;
    }

    int backendServer(int index) {
        return mBase + StandinProgram.PLATFORM_PORTS + index;
    }

    int agentRpc(int index) {
        return roles() + 2 * index;
    }

    int agentHttp(int index) {
        return agentRpc(index) + 1;
    }

    int entryRpc(int index) {
        return roles() + 2 * (mShape.engines() + mShape.plainInstances() + index);
    }

    int entryHttp(int index) {
        return entryRpc(index) + 1;
    }

    int agentProxy(int index) {
        return entryRpc(mShape.entries()) + index;
    }

    private int roles() {
        return mBase + StandinProgram.PLATFORM_PORTS + mShape.engines() + mShape.plainInstances();
    }

    static RuntimeException unchecked(IOException e) {
        return new UncheckedIOException(e);
    }
}

package org.cornelway.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.Map;
import org.cornelway.standin.StandinProgram;

/**
 * Assigns loopback ports to the processes of a fleet.
 *
 * <p>Immutable. The static methods that reserve ports are thread-safe.
 */
public final class FleetPorts {
    /** Ranges of ports start at this port or a higher one. */
    private static final int FIRST_BASE = 20_000;

    /** Ranges of ports start below this port. */
    private static final int BASE_LIMIT = 30_000;

    private static final int BLOCK_SIZE = 100;

    /**
     * First of the lock ports. Each block of {@link #BLOCK_SIZE} ports has one lock port; the
     * process that listens on it has reserved the block.
     */
    private static final int FIRST_LOCK_PORT = 19_800;

    /** Sockets on the lock ports that this process holds, by port. Guarded by the class. */
    private static final Map<Integer, ServerSocket> LOCK_SOCKETS = new HashMap<>();

    private final int mBase;
    private final FleetSize mSize;

    private FleetPorts(int base, FleetSize size) {
        mBase = base;
        mSize = size;
    }

    /** Reserves the ports for a fleet. */
    static FleetPorts reserveFor(FleetSize size) {
        return new FleetPorts(reserveRange(portCount(size)), size);
    }

    /**
     * Reserves a range of free ports and returns the first port. The range lies below the ephemeral
     * ports of the operating system. It stays reserved until it is released or this process ends,
     * so that fleets of different processes never use the same ports.
     *
     * @param count number of ports
     * @throws IllegalStateException if no such range is free
     */
    public static int reserveRange(int count) {
        for (int base = FIRST_BASE; base < BASE_LIMIT; base += BLOCK_SIZE) {
            if (reserveBlocks(base, count) && areFree(base, count)) {
                return base;
            }
        }
        throw new IllegalStateException("found no range of " + count + " free ports");
    }

    /**
     * Reserves all blocks of a range by listening on their lock ports. Returns false if another
     * process, or another fleet of this one, has reserved one of them; the blocks before that one
     * then stay reserved.
     */
    private static synchronized boolean reserveBlocks(int base, int count) {
        for (int from = base; from < base + count; from += BLOCK_SIZE) {
            int lockPort = lockPort(from);
            try {
                InetAddress loopback = InetAddress.getByName("127.0.0.1");
                LOCK_SOCKETS.put(lockPort, new ServerSocket(lockPort, 1, loopback));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    private static int lockPort(int from) {
        return FIRST_LOCK_PORT + (from - FIRST_BASE) / BLOCK_SIZE;
    }

    /** Releases a range, once nothing listens on its ports any more. */
    public static synchronized void releaseRange(int base, int count) {
        for (int from = base; from < base + count; from += BLOCK_SIZE) {
            try (ServerSocket lock = LOCK_SOCKETS.remove(lockPort(from))) {
                // Closing the socket frees the lock port.
                continue;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Releases the ports of this fleet. */
    void release() {
        releaseRange(mBase, portCount(mSize));
    }

    private static int portCount(FleetSize size) {
        int servers = size.engines() + size.plainInstances();
        // One port for each backend server, two for each agent and entry, one for each agent proxy.
        return StandinProgram.PLATFORM_PORT_COUNT
                + servers
                + 2 * (servers + size.entries())
                + servers;
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
        return mBase + StandinProgram.PLATFORM_PORT_COUNT + index;
    }

    int agentRpc(int index) {
        return firstRolePort() + 2 * index;
    }

    int agentHttp(int index) {
        return agentRpc(index) + 1;
    }

    int entryRpc(int index) {
        return firstRolePort() + 2 * (mSize.engines() + mSize.plainInstances() + index);
    }

    int entryHttp(int index) {
        return entryRpc(index) + 1;
    }

    int agentProxy(int index) {
        return entryRpc(mSize.entries()) + index;
    }

    private int firstRolePort() {
        return mBase
                + StandinProgram.PLATFORM_PORT_COUNT
                + mSize.engines()
                + mSize.plainInstances();
    }

    static RuntimeException unchecked(IOException e) {
        return new UncheckedIOException(e);
    }
}

package org.verbenamast.it.deploy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * A block of TCP ports that no other deployment on this machine takes. The last port of each granule is held open as a
 * lock, and the others are for the deployment.
 */
final class PortBlock implements AutoCloseable {

    private static final int FIRST_PORT = 24_000;
    private static final int LAST_PORT = 24_999;
    private static final int GRANULE_PORTS = 50;
    private static final int USABLE_PORTS = GRANULE_PORTS - 1;
    private static final int BACKLOG = 1;

    private final int base;
    private final List<ServerSocket> locks;

    private PortBlock(int base, List<ServerSocket> locks) {
        this.base = base;
        this.locks = locks;
    }

    /**
     * Reserves a block.
     *
     * @param ports how many ports the deployment needs
     * @return the block, which is to be closed
     * @throws IOException where no block of this size is free
     */
    static PortBlock reserve(int ports) throws IOException {
        int granules = (ports + USABLE_PORTS - 1) / USABLE_PORTS;
        for (int base = FIRST_PORT; base + granules * GRANULE_PORTS - 1 <= LAST_PORT; base += GRANULE_PORTS) {
            List<ServerSocket> locks = lock(base, granules);
            if (!locks.isEmpty()) {
                return new PortBlock(base, locks);
            }
        }
        throw new IOException("no block of " + ports + " TCP ports is free from " + FIRST_PORT + " to " + LAST_PORT);
    }

    private static List<ServerSocket> lock(int base, int granules) throws IOException {
        List<ServerSocket> locks = new ArrayList<>();
        try {
            for (int i = 0; i < granules; i++) {
                int first = base + i * GRANULE_PORTS;
                locks.add(open(first + USABLE_PORTS));
                probe(first);
            }
            return locks;
        } catch (IOException e) {
            close(locks);
            return List.of();
        }
    }

    private static ServerSocket open(int port) throws IOException {
        return new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
    }

    /** Fails where a process listens in a granule that no deployment holds, as one whose test was killed may. */
    private static void probe(int first) throws IOException {
        for (int port = first; port < first + USABLE_PORTS; port++) {
            open(port).close();
        }
    }

    private static void close(List<ServerSocket> locks) throws IOException {
        for (ServerSocket lock : locks) {
            lock.close();
        }
    }

    /**
     * Returns a port of a block.
     *
     * @param base the block's first port
     * @param number the number of the port in the block, from 0
     * @return the TCP port
     */
    static int port(int base, int number) {
        return base + number / USABLE_PORTS * GRANULE_PORTS + number % USABLE_PORTS;
    }

    int base() {
        return base;
    }

    @Override
    public void close() throws IOException {
        close(locks);
    }
}

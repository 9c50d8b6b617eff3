package org.verbenamast.relay.settings;

import org.verbenamast.core.client.ClientLimits;
import org.verbenamast.core.model.HostLimits;
import org.verbenamast.core.relay.RelayLimits;
import org.verbenamast.core.tenant.CapBounds;
import org.verbenamast.wire.settings.SettingsNode;

/** Reads the limits of a node; every one may be missing. */
public final class RelayLimitSettings {

    private static final long MAX_NUMBER = Integer.MAX_VALUE;
    private static final long MAX_HELD_BYTES = 1L << 40;
    private static final double MAX_RATIO = 1_000;
    private static final long PER_MILLE = 1_000;

    private RelayLimitSettings() {}

    /**
     * Reads limits.
     *
     * @param file the object that holds them
     * @param usual the limits where it tells none
     * @return the limits
     */
    public static RelayLimits read(SettingsNode file, RelayLimits usual) {
        return new RelayLimits(
                host(file.object("host"), usual.host()),
                caps(file.object("caps"), usual.caps()),
                clients(file.object("clients"), usual.clients()),
                file.number("hedgesPerMille", "requests for each thousand", 0, PER_MILLE, usual.hedgesPerMille()));
    }

    private static HostLimits host(SettingsNode host, HostLimits usual) {
        return new HostLimits(
                host.number("memoryMegabytes", "MB", 1, MAX_NUMBER, usual.memoryMegabytes()),
                host.number("descriptors", "descriptors", 1, MAX_NUMBER, usual.descriptors()),
                host.decimal("linkMegabits", "Mbit/s", MAX_NUMBER, usual.linkMegabits()),
                host.decimal("cpuShare", "cores", MAX_RATIO, usual.cpuShare()));
    }

    private static CapBounds caps(SettingsNode caps, CapBounds usual) {
        return new CapBounds(
                caps.number("windowMillis", "milliseconds", 1, MAX_NUMBER, usual.windowMillis()),
                caps.decimal("overage", "the cap", MAX_RATIO, usual.overage()),
                caps.decimal("slack", "requests", MAX_NUMBER, usual.slack()));
    }

    private static ClientLimits clients(SettingsNode clients, ClientLimits usual) {
        return new ClientLimits(
                clients.number("heldBytes", "bytes", 0, MAX_HELD_BYTES, usual.heldBytes()),
                clients.number("connections", "connections", 0, MAX_NUMBER, usual.connections()),
                clients.number("pipelinedRequests", "requests", 1, MAX_NUMBER, usual.pipelinedRequests()));
    }
}

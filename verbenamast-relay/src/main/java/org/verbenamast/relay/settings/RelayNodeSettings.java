package org.verbenamast.relay.settings;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.wire.settings.SettingsNode;

/**
 * The settings of a node.
 *
 * @param node the node's name
 * @param zone its availability zone
 * @param service the service of the backend server beside it
 * @param server where that server takes requests
 * @param callers where callers on this host send their requests
 * @param ready where the platform asks whether the node is ready
 * @param heartbeats where the server sends its heartbeats
 * @param peers where other nodes connect
 * @param metrics where metrics are read
 * @param store where the platform's store is
 * @param drainMillis how long a server that leaves may still get requests, in milliseconds
 * @param graceSeconds the time between the signal to stop and the end of the process, in seconds
 * @param longestHoldMillis the longest time for which a server may hold keys, in milliseconds
 */
public record RelayNodeSettings(
        String node,
        Zone zone,
        String service,
        Address server,
        Address callers,
        Address ready,
        Address heartbeats,
        Address peers,
        Address metrics,
        Address store,
        long drainMillis,
        long graceSeconds,
        long longestHoldMillis) {

    private static final String ADDRESS_FORM = "an IP number and port, such as \"127.0.0.1:7000\"";
    private static final Address PLACEHOLDER_ADDRESS = new Address("127.0.0.1", 1);
    private static final long MAX_DURATION = 3_600_000;
    private static final long DEFAULT_DRAIN_MILLIS = 2_000;
    private static final long DEFAULT_GRACE_SECONDS = 6;
    private static final long DEFAULT_GRANT_MILLIS = 10_000;

    /** Checks the fields. */
    public RelayNodeSettings {
        Checks.notBlank("node", node);
        Objects.requireNonNull(zone, "zone");
        Checks.notBlank("service", service);
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(ready, "ready");
        Objects.requireNonNull(heartbeats, "heartbeats");
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(store, "store");
        Checks.positive("drainMillis", drainMillis);
        Checks.positive("graceSeconds", graceSeconds);
        Checks.positive("longestHoldMillis", longestHoldMillis);
    }

    /**
     * Returns these settings with the times of others; who the node is and where it listens stays.
     *
     * @param other the settings to take the times from
     * @return the settings
     */
    public RelayNodeSettings withTimingsOf(RelayNodeSettings other) {
        return new RelayNodeSettings(
                node,
                zone,
                service,
                server,
                callers,
                ready,
                heartbeats,
                peers,
                metrics,
                store,
                other.drainMillis,
                other.graceSeconds,
                other.longestHoldMillis);
    }

    /**
     * Reads the settings; faults are noted at the file.
     *
     * @param file the settings file
     * @return the settings; of no use where the file has faults
     */
    public static RelayNodeSettings read(SettingsNode file) {
        return new RelayNodeSettings(
                file.text("node", "a name that no other node has"),
                file.form("zone", "the name of an availability zone", Zone::new, new Zone("-")),
                file.text("service", "the name of a service"),
                address(file, "server"),
                address(file, "callers"),
                address(file, "ready"),
                address(file, "heartbeats"),
                address(file, "peers"),
                address(file, "metrics"),
                address(file, "store"),
                file.number("drainMillis", "milliseconds", 1, MAX_DURATION, DEFAULT_DRAIN_MILLIS),
                file.number("graceSeconds", "seconds", 1, MAX_DURATION, DEFAULT_GRACE_SECONDS),
                file.number("longestHoldMillis", "milliseconds", 1, MAX_DURATION, DEFAULT_GRANT_MILLIS));
    }

    private static Address address(SettingsNode file, String field) {
        return file.form(field, ADDRESS_FORM, Address::parse, PLACEHOLDER_ADDRESS);
    }
}

package org.verbenamast.relay.settings;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.relay.RelayLimits;
import org.verbenamast.wire.settings.SettingsNode;

/**
 * The settings of a relay node, as read from its settings file.
 *
 * @param node the node's name, unique among all nodes
 * @param zone its availability zone
 * @param service the service that its backend server provides
 * @param server the address at which the backend server accepts requests
 * @param callers the address for requests of callers on this host
 * @param ready the address for the platform's readiness checks
 * @param heartbeats the address for the backend server's heartbeats
 * @param peers the address for connections of other nodes
 * @param metrics the address of the metrics page
 * @param store the address of the platform's store
 * @param drainMillis how long a leaving server may still get requests, in milliseconds
 * @param graceSeconds the time between SIGTERM and the latest exit of the process, in seconds
 * @param longestHoldMillis the longest duration of a key grant to the backend server, in milliseconds
 * @param limits the limits that the node's decisions keep to
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
        long longestHoldMillis,
        RelayLimits limits) {

    private static final String ADDRESS_FORM = "an IP address and port, such as \"127.0.0.1:7000\"";
    private static final Address PLACEHOLDER_ADDRESS = new Address("127.0.0.1", 1);
    private static final long MAX_DURATION = 3_600_000;
    private static final long DEFAULT_DRAIN_MILLIS = 2_000;
    private static final long DEFAULT_GRACE_SECONDS = 6;
    private static final long DEFAULT_GRANT_MILLIS = 10_000;

    /** Checks that names are not blank and that durations are positive. */
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
        Objects.requireNonNull(limits, "limits");
    }

    /**
     * Returns a copy with the durations of other settings. Names and addresses stay, because a running node can't
     * change them.
     *
     * @param other the settings with the new durations
     * @return the copy
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
                other.longestHoldMillis,
                limits);
    }

    /**
     * Reads the settings and records faults in {@code file}.
     *
     * @param file the settings file
     * @return the settings; they contain placeholder values if the file has faults
     */
    public static RelayNodeSettings read(SettingsNode file) {
        return read(file, RelayLimits.DEFAULT);
    }

    /**
     * Reads the settings and records faults in {@code file}.
     *
     * @param file the settings file
     * @param limits the limits where the file tells none
     * @return the settings; they contain placeholder values if the file has faults
     */
    public static RelayNodeSettings read(SettingsNode file, RelayLimits limits) {
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
                file.number("longestHoldMillis", "milliseconds", 1, MAX_DURATION, DEFAULT_GRANT_MILLIS),
                RelayLimitSettings.read(file, limits));
    }

    private static Address address(SettingsNode file, String field) {
        return file.form(field, ADDRESS_FORM, Address::parse, PLACEHOLDER_ADDRESS);
    }
}

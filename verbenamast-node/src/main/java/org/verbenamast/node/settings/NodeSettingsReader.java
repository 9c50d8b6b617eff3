package org.verbenamast.node.settings;

import java.util.HashSet;

import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.wire.settings.SettingsNode;

/** Makes a node's settings from the object of its file. */
public final class NodeSettingsReader {

    private static final String ADDRESS = "an IP number and port, such as \"127.0.0.1:7000\"";
    private static final Address HARMLESS = new Address("127.0.0.1", 1);
    private static final long MAX_MILLIS = 3_600_000;
    private static final long MAX_SLICES = 1 << 20;
    private static final long MAX_BYTES = 1 << 28;
    private static final long FRAME_OVERHEAD = 64 * 1024;
    private static final long DEFAULT_BODY_BYTES = 1 << 20;
    private static final long DEFAULT_QUEUE = 64;
    private static final long MAX_QUEUE = 1 << 16;
    private static final long DEFAULT_DEADLINE_MILLIS = 5_000;
    private static final double DEFAULT_TRACE_RATIO = 0.01;

    private NodeSettingsReader() {}

    /**
     * Reads the settings; faults are collected in the node.
     *
     * @param file the file's object
     * @return the settings
     */
    public static NodeSettings read(SettingsNode file) {
        Address peers = file.form("peers", ADDRESS, Address::parse, HARMLESS);
        return new NodeSettings(
                file.text("node", "a name that no other node has"),
                file.form("zone", "the name of an availability zone", Zone::new, new Zone("-")),
                file.form("service", "the name of a service", ServiceName::new, new ServiceName("-")),
                file.form("callers", ADDRESS, Address::parse, HARMLESS),
                file.form("operators", ADDRESS, Address::parse, HARMLESS),
                peers,
                Address.parse(file.text("advertise", ADDRESS, peers.toString())),
                file.form("platform", ADDRESS, Address::parse, HARMLESS),
                file.forms("seeds", "a list of addresses", Address::parse),
                file.objects("services", "a list of services", NodeSettingsReader::service),
                new HashSet<>(file.forms("zones", "a list of names of availability zones", Zone::new)),
                OperatorKeysReader.read(file),
                timing(file.object("timing")),
                limits(file.object("limits")),
                file.ratio("traceRatio", DEFAULT_TRACE_RATIO));
    }

    private static ServiceSettings service(SettingsNode service) {
        ServiceName name = service.form("name", "the name of a service", ServiceName::new, new ServiceName("-"));
        boolean keyed = service.flag("keyed", false);
        int slices = (int) service.number("slices", "slices", 1, MAX_SLICES, 1);
        int chunkSlices = (int) service.number("chunkSlices", "slices", 1, slices, Math.min(slices, 16));
        return new ServiceSettings(name, keyed, slices, chunkSlices, service.flag("fenced", true));
    }

    private static Timing timing(SettingsNode timing) {
        Timing usual = Timing.DEFAULT;
        Timing read = new Timing(
                millis(timing, "leaseMillis", usual.leaseMillis()),
                millis(timing, "vouchEveryMillis", usual.vouchEveryMillis()),
                millis(timing, "gossipEveryMillis", usual.gossipEveryMillis()),
                millis(timing, "reviewEveryMillis", usual.reviewEveryMillis()),
                millis(timing, "storeTimeoutMillis", usual.storeTimeoutMillis()),
                millis(timing, "retryMillis", usual.retryMillis()),
                millis(timing, "longestRequestMillis", usual.longestRequestMillis()));
        timing.refuseUnknown();
        return read;
    }

    private static long millis(SettingsNode timing, String field, long usual) {
        return timing.number(field, "milliseconds", 1, MAX_MILLIS, usual);
    }

    private static NodeLimits limits(SettingsNode limits) {
        long body = limits.number("maxBodyBytes", "bytes", 1, MAX_BYTES, DEFAULT_BODY_BYTES);
        NodeLimits read = new NodeLimits(
                (int) body,
                (int) limits.number("maxFrameBytes", "bytes", 1, MAX_BYTES + FRAME_OVERHEAD, body + FRAME_OVERHEAD),
                (int) limits.number("queueLimit", "requests", 0, MAX_QUEUE, DEFAULT_QUEUE),
                limits.number("defaultDeadlineMillis", "milliseconds", 1, MAX_MILLIS, DEFAULT_DEADLINE_MILLIS));
        limits.refuseUnknown();
        return read;
    }
}
